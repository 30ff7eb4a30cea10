/** Entry VMs of a site, as registered in the object API. */
import {
  type DaemonId,
  type DataCentreId,
  parseJson,
  toId,
} from '@marigoldpost/common';
import type {RelayMember} from '@marigoldpost/gateway';
import type {PeerAddress} from '@marigoldpost/peers';
import type {ObjectChange, StoredObject} from '@marigoldpost/platform';
import * as z from 'zod';
import type {ObjectSink} from '../utils/object_sink.js';

/** Key prefix of the objects in which entry VMs register. */
export const entryPrefix = 'entries/';

const memberSchema = z.object({
  daemon: z.string(),
  address: z.string(),
  relayAddress: z.string(),
  dataCentre: z.string(),
});

/** Registration of one entry VM; stored as JSON. */
export interface EntryMember extends PeerAddress, RelayMember {
  readonly dataCentre: DataCentreId;
}

/** Registered entry VMs, updated from a watch; includes the own one. */
export class EntryDirectory implements ObjectSink {
  private readonly members = new Map<string, EntryMember>();
  private hasLoaded = false;
  private changes = 0;

  private constructor(
    private readonly own: EntryMember,
    private readonly onOwnRemoved: () => void,
  ) {
    this.addOwn();
  }

  /**
   * Creates a directory that contains only the own entry VM.
   * @param own - Registration of the own entry VM.
   * @param onOwnRemoved - Called when its object was removed by another daemon.
   */
  static create(own: EntryMember, onOwnRemoved: () => void): EntryDirectory {
    return new EntryDirectory(own, onOwnRemoved);
  }

  /** Whether the list of entry VMs has been read at least once. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** Number of changes so far; lets users detect that members changed. */
  get changeCount(): number {
    return this.changes;
  }

  /** Gets every known entry VM. */
  getMembers(): EntryMember[] {
    return [...this.members.values()];
  }

  replaceObjects(objects: readonly StoredObject[]): void {
    this.hasLoaded = true;
    this.changes += 1;
    this.members.clear();
    for (const object of objects) this.putObject(object);
    this.addOwn();
  }

  applyChange({key, object}: ObjectChange): void {
    this.changes += 1;
    if (object !== undefined) {
      this.putObject(object);
      return;
    }
    this.members.delete(key);
    if (key !== this.ownKey) return;
    this.addOwn();
    this.onOwnRemoved();
  }

  private get ownKey(): string {
    return `${entryPrefix}${this.own.daemon}`;
  }

  private addOwn(): void {
    this.members.set(this.ownKey, this.own);
  }

  private putObject({key, value}: StoredObject): void {
    if (key === this.ownKey) return;
    const parsed = memberSchema.safeParse(parseJson(value));
    if (!parsed.success) {
      this.members.delete(key);
      return;
    }
    const {daemon, address, relayAddress, dataCentre} = parsed.data;
    this.members.set(key, {
      daemon: toId<DaemonId>(daemon),
      address,
      relayAddress,
      dataCentre: toId<DataCentreId>(dataCentre),
    });
  }
}
