/** Clients of all registered archives. */
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  Deferred,
} from '@marigoldpost/common';
import type {PeerRequester} from '@marigoldpost/peers';
import type {
  ArchiveDirectory,
  ArchiveMember,
} from '../directory/archive_directory.js';
import type {DiskId} from '../log/disk_identity.js';
import {ArchiveClient, type ReachabilityListener} from './archive_client.js';
import {ArchiveRetries, type ArchiveWait} from './archive_retries.js';

/**
 * Time for which an unreachable archive is expected to return: a restart takes
 * 1 to 2 s, the isolation of a data centre lasts longer.
 */
const restartMs = 2500;
/**
 * Time in which the probes of all archives succeed again after the own VM was
 * isolated.
 */
const reconnectMs = 1000;

/** Fewer silent archives may be VMs that hang or have lost power. */
const minSplitArchives = 2;
/** Longest time between the losses of the archives that one split cuts off. */
const maxSplitSpreadMs = 1000;

/** Directory, transport and callbacks of a pool. */
export interface ArchivePoolOptions {
  readonly directory: ArchiveDirectory;
  readonly transport: PeerRequester;
  readonly clock: Clock;
  /** Stops the probes of unreachable archives when aborted. */
  readonly signal: AbortSignal;
  /** Daemon that owns the pool; an archive gets no client of itself. */
  readonly ownDaemon?: DaemonId;
  /** Reads the archives that are registered now, not from the watch. */
  readonly readRegistered: () => Promise<readonly ArchiveMember[]>;
  readonly onReachabilityChanged?: ReachabilityListener;
}

/** Keeps one client per archive; creates a new one when its entry changes. */
export class ArchivePool {
  private clients: readonly ArchiveClient[] = [];
  private seenChangeCount = -1;
  private seenSupersededCount = 0;
  /** Waits that a return ends; removed with the wait. */
  private readonly returnListeners = new Set<() => void>();
  /** Waits that a network split may end; removed with the wait. */
  private readonly silenceListeners = new Set<() => void>();
  private returns = 0;
  /** When an archive became reachable while no other one was. */
  private isolationEndMs = Number.NEGATIVE_INFINITY;

  /** Whether the first list of archives named the own daemon, and not as new. */
  private isOwnRegistered: boolean | undefined;

  private constructor(private readonly options: ArchivePoolOptions) {
    const {directory} = options;
    this.readOwnRegistration();
    const removeListener = directory.onChange(() => {
      this.readOwnRegistration();
      if (directory.isLoaded) removeListener();
    });
  }

  /**
   * Creates a pool that follows the directory.
   * @param options - Directory, transport and clock.
   */
  static create(options: ArchivePoolOptions): ArchivePool {
    return new ArchivePool(options);
  }

  /** Whether the list of archives has been read at least once. */
  get isLoaded(): boolean {
    return this.options.directory.isLoaded;
  }

  /**
   * Whether an archive of the own daemon that may have counted was registered
   * before this start; `undefined` before the list of archives has been read.
   */
  get wasRegistered(): boolean | undefined {
    return this.isOwnRegistered;
  }

  /**
   * Whether the list of archives has the own daemon with a disk.
   * @param disk - Identity of the own disk.
   */
  isOwnDiskRegistered(disk: DiskId): boolean {
    return this.ownMember?.disk === disk;
  }

  /**
   * Whether a registered archive replies.
   * @param disk - Disk of the archive.
   */
  isReached(disk: DiskId): boolean {
    const client = this.getClients().find(({member}) => member.disk === disk);
    return client?.isReachable === true;
  }

  /** Gets one client per registered archive, reachable or not. */
  getClients(): readonly ArchiveClient[] {
    const {directory, ownDaemon} = this.options;
    if (this.seenChangeCount === directory.changeCount) return this.clients;
    this.seenChangeCount = directory.changeCount;
    const previous = this.clients;
    this.clients = directory
      .getMembers()
      .filter(({daemon}) => daemon !== ownDaemon)
      .map((member) => this.getOrCreateClient(member));
    const {size} = this.supersededDisks;
    if (
      size !== this.seenSupersededCount ||
      this.clients.some((client) => !previous.includes(client))
    ) {
      this.returns += 1;
    }
    this.seenSupersededCount = size;
    for (const client of previous) {
      if (!this.clients.includes(client)) client.stopProbes();
    }
    return this.clients;
  }

  /**
   * Gets the clients of the archives that decide on token budgets: all but those
   * whose place another one has taken, see `ArchiveSuccession`. Nothing removes
   * the registration of a VM that never returns, and a few of them would leave no
   * majority.
   */
  getVoters(): readonly ArchiveClient[] {
    return this.getClients().filter(
      ({member}) => !this.supersededDisks.has(member.disk),
    );
  }

  /** Current registration of the own daemon; `undefined` without one. */
  get ownMember(): ArchiveMember | undefined {
    const {directory, ownDaemon} = this.options;
    return ownDaemon === undefined ? undefined : directory.getMember(ownDaemon);
  }

  /** Disks whose votes on token budgets do not count. */
  get supersededDisks(): ReadonlySet<DiskId> {
    return this.options.directory.getSupersededDisks();
  }

  /**
   * Leaves out the votes of disks that a peer has named as superseded.
   * @param disks - Disks, known or not.
   */
  addSupersededDisks(disks: Iterable<DiskId>): void {
    this.options.directory.addSupersededDisks(disks);
  }

  /**
   * Whether the clients are those of all archives that are registered, as the
   * object API tells now: the watch may be behind. `false` if it does not reply.
   * @param clients - Clients that have been asked.
   */
  async areAllRegistered(clients: readonly ArchiveClient[]): Promise<boolean> {
    try {
      return areKnown(await this.options.readRegistered(), clients);
    } catch {
      return false;
    }
  }

  /**
   * Whether the list of archives has all those that were just read, and the disks
   * that they name as superseded, which are left out from now on.
   * @param members - Archives that are registered.
   */
  isListCurrent(members: readonly ArchiveMember[]): boolean {
    const disks = members.flatMap(({supersededDisks = []}) => supersededDisks);
    const isKnown = disks.every((disk) => this.supersededDisks.has(disk));
    this.addSupersededDisks(disks);
    return isKnown && areKnown(members, this.getClients());
  }

  /** Whether at least one archive is reachable. */
  get hasReachableArchive(): boolean {
    return this.getClients().some((client) => client.isReachable);
  }

  /**
   * Creates the retries of one request, which start now.
   * @param wait - Longest wait and what ends it.
   */
  createRetries(wait: ArchiveWait): ArchiveRetries {
    return ArchiveRetries.create(this, this.options.clock, wait);
  }

  /**
   * Number of times at which an archive has become reachable again or has been
   * registered, votes have ceased to count, or the object API has replied again.
   */
  get returnCount(): number {
    this.getClients();
    return this.returns;
  }

  /**
   * Ends the waits for archives since the object API, which takes the place of
   * archives that are missing, replies again.
   */
  recordStoreReturn(): void {
    this.endWaits();
  }

  /**
   * Waits until an archive becomes reachable again, the directory changes or the
   * object API replies again; `false` if the wait ends before, or as soon as no archive is expected: enough
   * are registered, and none has become unreachable in the last 2.5 s.
   * @param wait - Longest wait and what ends it.
   * @param owedCount - Archives that the site must have.
   * @param isOptional - Whether the request can end well without a change; a
   *   network split ends such a wait.
   */
  async waitForChange(
    {maxWaitMs, signal}: ArchiveWait,
    owedCount: number,
    isOptional: boolean,
  ): Promise<boolean> {
    const {clock, directory} = this.options;
    const getExpectedMs = () =>
      this.getExpectedUntilMs(owedCount, isOptional) - clock.nowMs();
    const expectedMs = getExpectedMs();
    if (expectedMs <= 0 || signal.aborted) return false;
    const ended = Deferred.create<boolean>();
    const end = () => ended.resolve(false);
    const timer = clock.setTimer(Math.min(maxWaitMs, expectedMs), end);
    signal.addEventListener('abort', end, {once: true});
    const endByChange = () => ended.resolve(true);
    const removeListener = directory.onChange(endByChange);
    this.returnListeners.add(endByChange);
    const endUnlessExpected = () => {
      if (getExpectedMs() <= 0) end();
    };
    this.silenceListeners.add(endUnlessExpected);
    try {
      return await ended.promise;
    } finally {
      removeListener();
      this.silenceListeners.delete(endUnlessExpected);
      this.returnListeners.delete(endByChange);
      timer.cancel();
      signal.removeEventListener('abort', end);
    }
  }

  /**
   * Gets the clients of the reachable archives in a data centre.
   * @param dataCentre - Data centre of the archives.
   */
  getReachableClients(dataCentre: DataCentreId): ArchiveClient[] {
    return this.getClients().filter(
      (client) => client.isReachable && client.dataCentre === dataCentre,
    );
  }

  /**
   * Whether an archive has been unreachable for longer than a restart takes, so
   * that its VM may never return. While the own VM is isolated, and just after
   * it, the absence of an archive is no sign of that.
   * @param client - Client of the archive.
   */
  isPresumedLost({unreachableAtMs = Infinity}: ArchiveClient): boolean {
    const nowMs = this.options.clock.nowMs();
    return (
      this.hasReachableArchive &&
      nowMs - unreachableAtMs >= restartMs &&
      nowMs - this.isolationEndMs >= reconnectMs
    );
  }

  private readOwnRegistration(): void {
    const {directory, ownDaemon} = this.options;
    if (!directory.isLoaded || ownDaemon === undefined) return;
    const member = directory.getMember(ownDaemon);
    this.isOwnRegistered ??= member !== undefined && member.isNew !== true;
  }

  /**
   * Whether the network seems to be split: the archives of whole data centres
   * fell silent at about the same time, and all others reply. Processes that
   * restart refuse connections instead, and a VM that hangs does so alone.
   */
  private get isSplit(): boolean {
    const clients = this.getClients();
    const reachable = clients.filter(({isReachable}) => isReachable);
    const unreachable = clients.filter(({isReachable}) => !isReachable);
    const sinceMs = unreachable.map(
      ({unreachableAtMs = Infinity}) => unreachableAtMs,
    );
    return (
      reachable.length > 0 &&
      unreachable.length >= minSplitArchives &&
      Math.max(...sinceMs) - Math.min(...sinceMs) <= maxSplitSpreadMs &&
      unreachable.every(
        ({isSilent, dataCentre}) =>
          isSilent &&
          reachable.every((other) => other.dataCentre !== dataCentre),
      )
    );
  }

  /**
   * Until when an archive is expected to return or to be registered. The split of
   * a network outlasts a wait that is optional.
   */
  private getExpectedUntilMs(owedCount: number, isOptional: boolean): number {
    const clients = this.getClients();
    if (clients.length < owedCount) return Infinity;
    if (isOptional && this.isSplit) return -Infinity;
    const unreachableAtMs = clients.map(
      (client) => client.unreachableAtMs ?? -Infinity,
    );
    return Math.max(...unreachableAtMs) + restartMs;
  }

  private getOrCreateClient(member: ArchiveMember): ArchiveClient {
    const key = getMemberKey(member);
    const existing = this.clients.find(
      (client) => getMemberKey(client.member) === key,
    );
    if (existing !== undefined) return existing;
    const {transport, clock, signal} = this.options;
    return ArchiveClient.create({
      member,
      transport,
      clock,
      signal,
      onReachabilityChanged: (changed, isReachable, reason) =>
        this.handleReachability(changed, isReachable, reason),
      onSilent: () => {
        for (const listener of [...this.silenceListeners]) listener();
      },
    });
  }

  private handleReachability(
    member: ArchiveMember,
    isReachable: boolean,
    reason: string,
  ): void {
    this.options.onReachabilityChanged?.(member, isReachable, reason);
    if (!isReachable) return;
    const reachable = this.clients.filter((client) => client.isReachable);
    if (reachable.length === 1) {
      this.isolationEndMs = this.options.clock.nowMs();
    }
    this.endWaits();
  }

  private endWaits(): void {
    this.returns += 1;
    for (const listener of [...this.returnListeners]) listener();
  }
}

/**
 * Includes the disk, so that an archive with a replaced disk counts as a new
 * member and nobody relies on the data that was lost.
 */
function getMemberKey({daemon, address, disk}: ArchiveMember): string {
  return `${daemon} ${address} ${disk}`;
}

/** Whether there is a client for each of the members. */
function areKnown(
  members: readonly ArchiveMember[],
  clients: readonly ArchiveClient[],
): boolean {
  const known = new Set(clients.map(({member}) => getMemberKey(member)));
  return members.every((member) => known.has(getMemberKey(member)));
}
