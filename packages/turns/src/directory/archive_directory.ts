/** Archives of a site, as registered in the object API. */
import {
  type DaemonId,
  type DataCentreId,
  parseJson,
  toId,
} from '@marigoldpost/common';
import {
  type ObjectChange,
  ObjectDecoder,
  type ObjectStore,
  putOwnObject,
  type StoredObject,
} from '@marigoldpost/platform';
import {isHttpAddress} from '@marigoldpost/sites';
import * as z from 'zod';
import type {DiskId} from '../log/disk_identity.js';

/** Registration of one archive; stored as JSON. */
export interface ArchiveMember {
  readonly daemon: DaemonId;
  /** `http://<ip>:<port>` on which it accepts peer requests. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly disk: DiskId;
  /**
   * Whether it has never had a complete ledger, on this disk or another one, so
   * that its vote has never counted.
   */
  readonly isNew?: boolean | undefined;
  /** Disks of absent archives whose place on token budgets this one has taken. */
  readonly supersededDisks?: readonly DiskId[] | undefined;
}

/** Key prefix of the objects in which archives register. */
export const archivePrefix = 'archives/';

const memberSchema = z.object({
  daemon: z.string(),
  address: z.string().refine(isHttpAddress),
  dataCentre: z.string(),
  disk: z.string(),
  isNew: z.boolean().optional(),
  supersededDisks: z.array(z.string()).optional(),
});

/** Callbacks of a directory. */
export interface ArchiveDirectoryOptions {
  /** Called once for an object that is malformed. */
  readonly onIgnored?: (object: StoredObject) => void;
  /** Called with disks whose votes have ceased to count. */
  readonly onSuperseded?: (disks: readonly DiskId[]) => void;
}

/**
 * Registered archives by object key, updated from a watch. A removed archive
 * counts as having lost its data.
 */
export class ArchiveDirectory {
  private readonly members = new Map<string, ArchiveMember>();
  private hasLoaded = false;
  private changes = 0;
  private readonly listeners = new Set<() => void>();
  /** Disks whose votes do not count, also once no registration names them. */
  private supersededDisks: ReadonlySet<DiskId> = new Set();

  private readonly decoder: ObjectDecoder<ArchiveMember>;

  private constructor(private readonly options: ArchiveDirectoryOptions) {
    const {onIgnored} = options;
    this.decoder = ObjectDecoder.create({decode: decodeMember, onIgnored});
  }

  /**
   * Creates an empty directory that has not been loaded.
   * @param options - Callbacks.
   */
  static create(options: ArchiveDirectoryOptions = {}): ArchiveDirectory {
    return new ArchiveDirectory(options);
  }

  /** Whether the list of archives has been read at least once. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** Number of changes so far; lets users detect that members changed. */
  get changeCount(): number {
    return this.changes;
  }

  /**
   * Calls a function at each change.
   * @param listener - Called after the change.
   * @returns Ends the calls.
   */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Gets every registered archive. */
  getMembers(): ArchiveMember[] {
    return [...this.members.values()];
  }

  /**
   * Gets an archive; `undefined` when it is not registered.
   * @param daemon - Id of the archive's daemon.
   */
  getMember(daemon: DaemonId): ArchiveMember | undefined {
    return this.members.get(`${archivePrefix}${daemon}`);
  }

  /**
   * Gets the disks of archives whose place others have taken, so that their votes
   * on token budgets do not count: those that a registration has ever named, and
   * those that were added.
   */
  getSupersededDisks(): ReadonlySet<DiskId> {
    return this.supersededDisks;
  }

  /**
   * Adds superseded disks that a peer has named before the registrations do.
   * @param disks - Disks, known or not.
   */
  addSupersededDisks(disks: Iterable<DiskId>): void {
    if (this.recordSuperseded(disks)) this.notifyListeners();
  }

  /**
   * Replaces all archives by those of a listing.
   * @param objects - Registration objects of the listing.
   */
  replaceObjects(objects: readonly StoredObject[]): void {
    this.hasLoaded = true;
    this.members.clear();
    for (const object of objects) this.putObject(object);
    this.recordChange();
  }

  /**
   * Applies one change from the watch.
   * @param change - Registration that was written or removed.
   */
  applyChange({key, object}: ObjectChange): void {
    if (object === undefined) this.members.delete(key);
    else this.putObject(object);
    this.recordChange();
  }

  private recordChange(): void {
    this.recordSuperseded(
      this.getMembers().flatMap(({supersededDisks = []}) => supersededDisks),
    );
    this.notifyListeners();
  }

  /** Whether one of the disks was not known as superseded. */
  private recordSuperseded(disks: Iterable<DiskId>): boolean {
    const known = this.supersededDisks;
    const added = [...disks].filter((disk) => !known.has(disk));
    if (added.length === 0) return false;
    this.supersededDisks = new Set([...known, ...added]);
    this.options.onSuperseded?.(added);
    return true;
  }

  private notifyListeners(): void {
    this.changes += 1;
    for (const listener of [...this.listeners]) listener();
  }

  private putObject(object: StoredObject): void {
    const member = this.decoder.decode(object);
    if (member === undefined) this.members.delete(object.key);
    else this.members.set(object.key, member);
  }
}

/**
 * Registers an archive; skips the write when its object is up to date.
 * @param store - Client of the object API.
 * @param member - Registration to write.
 */
export async function registerArchive(
  store: ObjectStore,
  member: ArchiveMember,
): Promise<void> {
  const key = `${archivePrefix}${member.daemon}`;
  await putOwnObject(store, key, JSON.stringify(member));
}

/**
 * Decodes a registration; `undefined` if it is malformed.
 * @param object - Object under `archivePrefix`.
 */
export function decodeMember({
  key,
  value,
}: StoredObject): ArchiveMember | undefined {
  const parsed = memberSchema.safeParse(parseJson(value));
  if (!parsed.success) return undefined;
  const {daemon, address, dataCentre, disk} = parsed.data;
  const {isNew, supersededDisks = []} = parsed.data;
  // An archive registers only itself.
  if (key !== `${archivePrefix}${daemon}`) return undefined;
  return {
    daemon: toId<DaemonId>(daemon),
    address,
    dataCentre: toId<DataCentreId>(dataCentre),
    disk: toId<DiskId>(disk),
    isNew,
    supersededDisks: supersededDisks.map((other) => toId<DiskId>(other)),
  };
}
