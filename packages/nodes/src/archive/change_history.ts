/** Recent changes of the objects under one prefix, in the order of versions. */
import type {
  ObjectChange,
  ObjectChanges,
  StoredObject,
} from '@marigoldpost/platform';

/** Changes that are kept; a follower that is further behind reads for itself. */
const maxChanges = 256;

interface RecordedChange {
  readonly change: ObjectChange;
  /**
   * Latest version that the change may have. The event of a removal need not
   * tell its version, only that it lies between those of its neighbours.
   */
  readonly latestVersion: number;
}

/** Changes since a complete set, for followers that know an earlier version. */
export class ChangeHistory {
  private readonly changes: RecordedChange[] = [];
  /** Changes since the last recorded version. */
  private batch: ObjectChange[] = [];
  /** Version from which on all changes are kept. */
  private startVersion: number | undefined;
  private endVersion = 0;
  /** Versions of the objects that exist, by key. */
  private readonly known = new Map<string, number>();

  private constructor() {}

  /** Creates a history that knows nothing yet. */
  static create(): ChangeHistory {
    return new ChangeHistory();
  }

  /**
   * Version up to which all changes have been recorded; `undefined` before the
   * first complete set.
   */
  get version(): number | undefined {
    return this.startVersion === undefined ? undefined : this.endVersion;
  }

  /**
   * Adds what differs from a complete set of objects; `recordVersion` makes it
   * available.
   * @param objects - All objects of the prefix.
   */
  addSet(objects: readonly StoredObject[]): void {
    const keys = new Set(objects.map(({key}) => key));
    this.batch = objects
      .filter(({key, version}) => this.known.get(key) !== version)
      .toSorted((left, right) => left.version - right.version)
      .map((object) => ({key: object.key, object, version: object.version}));
    for (const [key, version] of this.known) {
      if (keys.has(key)) continue;
      this.batch.push({key, object: undefined, version});
    }
  }

  /**
   * Adds a change; `recordVersion` makes it available.
   * @param change - Next change of the prefix.
   */
  add(change: ObjectChange): void {
    this.batch.push(change);
  }

  /**
   * Records that all changes up to a version have been added.
   * @param version - Version that the source has reached.
   */
  recordVersion(version: number): void {
    if (this.startVersion === undefined) this.startVersion = version;
    let latestVersion = Math.max(version, this.endVersion);
    const recorded: RecordedChange[] = [];
    for (const change of this.batch.toReversed()) {
      const isRemoval = change.object === undefined;
      if (!isRemoval) latestVersion = change.version;
      recorded.unshift({change, latestVersion});
      if (!isRemoval) latestVersion -= 1;
    }
    for (const {key, object} of this.batch) {
      if (object === undefined) this.known.delete(key);
      else this.known.set(key, object.version);
    }
    this.batch = [];
    this.changes.push(...recorded);
    this.endVersion = Math.max(version, this.endVersion);
    while (this.changes.length > maxChanges) {
      this.startVersion = this.changes.shift()?.latestVersion;
    }
  }

  /**
   * Gets the changes that a follower lacks; `undefined` if some of them are no
   * longer kept.
   * @param version - Version up to which the follower knows all changes.
   */
  getSince(version: number): ObjectChanges | undefined {
    const {startVersion, endVersion} = this;
    if (startVersion === undefined || version < startVersion) return undefined;
    const changes = this.changes
      .filter(({latestVersion}) => latestVersion > version)
      .map(({change}) => change);
    return {changes, version: Math.max(version, endVersion)};
  }
}
