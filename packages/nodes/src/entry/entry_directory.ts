/** Entry VMs of a site, as registered in the object API. */
import {
  type DaemonId,
  type DataCentreId,
  parseJson,
  toId,
} from '@marigoldpost/common';
import type {RelayMember} from '@marigoldpost/gateway';
import type {PeerAddress} from '@marigoldpost/peers';
import {
  type ObjectChange,
  ObjectDecoder,
  type StoredObject,
} from '@marigoldpost/platform';
import {isHttpAddress} from '@marigoldpost/sites';
import * as z from 'zod';
import type {ObjectSink} from '../utils/object_sink.js';

/** Key prefix of the objects in which entry VMs register. */
export const entryPrefix = 'entries/';

const memberSchema = z.object({
  daemon: z.string(),
  address: z.string().refine(isHttpAddress),
  relayAddress: z.string().refine(isHttpAddress),
  dataCentre: z.string(),
});

/** Registration of one entry VM; stored as JSON. */
export interface EntryMember extends PeerAddress, RelayMember {
  readonly dataCentre: DataCentreId;
}

/** Own registration and callbacks of a directory. */
export interface EntryDirectoryOptions {
  /** Registration of the own entry VM; archives have none. */
  readonly own?: EntryMember;
  /** Called when the own object was removed by another daemon. */
  readonly onOwnRemoved?: () => void;
  /** Called once for an object that is malformed. */
  readonly onIgnored?: (object: StoredObject) => void;
}

/** Registered entry VMs, updated from a watch; includes the own one, if any. */
export class EntryDirectory implements ObjectSink {
  private readonly members = new Map<string, EntryMember>();
  private hasLoaded = false;
  private changes = 0;

  private readonly decoder: ObjectDecoder<EntryMember>;

  private constructor(private readonly options: EntryDirectoryOptions) {
    const {onIgnored} = options;
    this.decoder = ObjectDecoder.create({decode: decodeMember, onIgnored});
    this.addOwn();
  }

  /**
   * Creates a directory that contains only the own entry VM, if any.
   * @param options - Own registration and callbacks.
   */
  static create(options: EntryDirectoryOptions): EntryDirectory {
    return new EntryDirectory(options);
  }

  /** Whether the list of entry VMs has been read at least once. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** Number of changes so far; lets users detect that members changed. */
  get changeCount(): number {
    return this.changes;
  }

  /** Number of known entry VMs. */
  get memberCount(): number {
    return this.members.size;
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
    this.options.onOwnRemoved?.();
  }

  private get ownKey(): string | undefined {
    const {own} = this.options;
    return own && `${entryPrefix}${own.daemon}`;
  }

  private addOwn(): void {
    const {own} = this.options;
    if (own !== undefined) this.members.set(`${entryPrefix}${own.daemon}`, own);
  }

  private putObject(object: StoredObject): void {
    const {key} = object;
    if (key === this.ownKey) return;
    const member = this.decoder.decode(object);
    if (member === undefined) this.members.delete(key);
    else this.members.set(key, member);
  }
}

function decodeMember({key, value}: StoredObject): EntryMember | undefined {
  const parsed = memberSchema.safeParse(parseJson(value));
  if (!parsed.success) return undefined;
  const {daemon, address, relayAddress, dataCentre} = parsed.data;
  // An entry VM registers only itself.
  if (key !== `${entryPrefix}${daemon}`) return undefined;
  return {
    daemon: toId<DaemonId>(daemon),
    address,
    relayAddress,
    dataCentre: toId<DataCentreId>(dataCentre),
  };
}
