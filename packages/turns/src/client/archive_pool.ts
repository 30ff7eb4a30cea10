/** Clients of every registered archive. */
import type {Clock, DaemonId, DataCentreId} from '@marigoldpost/common';
import type {PeerRequester} from '@marigoldpost/peers';
import type {
  ArchiveDirectory,
  ArchiveMember,
} from '../directory/archive_directory.js';
import {ArchiveClient} from './archive_client.js';

/** Options of a pool. */
export interface ArchivePoolOptions {
  readonly directory: ArchiveDirectory;
  readonly transport: PeerRequester;
  readonly clock: Clock;
  /** Ends the probes of silent archives. */
  readonly signal: AbortSignal;
  /** The daemon itself, which is left out. */
  readonly self?: DaemonId;
  readonly onReachability?: (
    member: ArchiveMember,
    isReachable: boolean,
  ) => void;
}

/** Clients by archive; one whose address changes gets a new client. */
export class ArchivePool {
  private clients: readonly ArchiveClient[] = [];
  private seenChanges = -1;

  private constructor(private readonly options: ArchivePoolOptions) {}

  /**
   * Creates a pool.
   * @param options - The archives and how they are reached.
   */
  static create(options: ArchivePoolOptions): ArchivePool {
    return new ArchivePool(options);
  }

  /** Gets a client of each registered archive. */
  getClients(): readonly ArchiveClient[] {
    const {directory, self} = this.options;
    if (this.seenChanges === directory.changeCount) return this.clients;
    this.seenChanges = directory.changeCount;
    this.clients = directory
      .getMembers()
      .filter(({daemon}) => daemon !== self)
      .map((member) => this.getClient(member));
    return this.clients;
  }

  /** Whether any archive answers. */
  get isAnyReachable(): boolean {
    return this.getClients().some((client) => client.isReachable);
  }

  /**
   * Gets the clients of a data centre that answer.
   * @param dataCentre - The data centre.
   */
  getReachableIn(dataCentre: DataCentreId): ArchiveClient[] {
    return this.getClients().filter(
      (client) => client.isReachable && client.dataCentre === dataCentre,
    );
  }

  private getClient(member: ArchiveMember): ArchiveClient {
    const key = toKey(member);
    const known = this.clients.find((client) => toKey(client.member) === key);
    if (known !== undefined) return known;
    const {transport, clock, signal, onReachability} = this.options;
    return ArchiveClient.create({
      member,
      transport,
      clock,
      signal,
      onReachability,
    });
  }
}

/** A new disk makes a new member, so that nobody counts on what was lost. */
function toKey({daemon, address, disk}: ArchiveMember): string {
  return `${daemon} ${address} ${disk}`;
}
