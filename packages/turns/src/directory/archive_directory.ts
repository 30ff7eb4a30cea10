/** Archives of a site, as they registered themselves in the object API. */
import {type DaemonId, type DataCentreId, toId} from '@marigoldpost/common';
import {
  type ObjectChange,
  type ObjectStore,
  putOwnObject,
  type StoredObject,
} from '@marigoldpost/platform';
import type {DiskId} from '../log/disk_identity.js';

/** One archive. */
export interface ArchiveMember {
  readonly daemon: DaemonId;
  /** `http://<ip>:<port>` for other daemons. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly disk: DiskId;
}

/** Kind of the objects in which archives register. */
export const archivePrefix = 'archives/';

/** Archives by name; one that is removed holds nothing any more. */
export class ArchiveDirectory {
  private readonly members = new Map<string, ArchiveMember>();
  private isKnown = false;
  private changes = 0;

  private constructor() {}

  /** Creates a directory that knows no archive. */
  static create(): ArchiveDirectory {
    return new ArchiveDirectory();
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.isKnown;
  }

  /** Number of changes so far, so that users know when to look again. */
  get changeCount(): number {
    return this.changes;
  }

  /** Gets every archive. */
  getMembers(): ArchiveMember[] {
    return [...this.members.values()];
  }

  /**
   * Gets an archive; nothing when it is not registered.
   * @param daemon - Its daemon.
   */
  getMember(daemon: DaemonId): ArchiveMember | undefined {
    return this.members.get(`${archivePrefix}${daemon}`);
  }

  /**
   * Replaces all archives.
   * @param objects - Their objects.
   */
  replaceObjects(objects: readonly StoredObject[]): void {
    this.isKnown = true;
    this.changes += 1;
    this.members.clear();
    for (const object of objects) this.putObject(object);
  }

  /**
   * Applies one change.
   * @param change - The change.
   */
  applyChange({key, object}: ObjectChange): void {
    this.changes += 1;
    if (object === undefined) this.members.delete(key);
    else this.putObject(object);
  }

  private putObject({key, value}: StoredObject): void {
    const member = parseMember(value);
    if (member === undefined) this.members.delete(key);
    else this.members.set(key, member);
  }
}

/**
 * Registers an archive; writes nothing when its object is up to date.
 * @param store - The object API.
 * @param member - The archive.
 */
export async function registerArchive(
  store: ObjectStore,
  member: ArchiveMember,
): Promise<void> {
  const key = `${archivePrefix}${member.daemon}`;
  await putOwnObject(store, key, JSON.stringify(member));
}

function parseMember(value: string): ArchiveMember | undefined {
  const parsed = JSON.parse(value) as Partial<Record<string, unknown>>;
  const {daemon, address, dataCentre, disk} = parsed;
  const texts = [daemon, address, dataCentre, disk];
  if (!texts.every((text) => typeof text === 'string')) return undefined;
  return {
    daemon: toId<DaemonId>(daemon as string),
    address: address as string,
    dataCentre: toId<DataCentreId>(dataCentre as string),
    disk: toId<DiskId>(disk as string),
  };
}
