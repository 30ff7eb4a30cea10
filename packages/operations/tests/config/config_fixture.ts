/** Operators and daemons that share an object store; records all outcomes. */
import {
  type DaemonId,
  isErrorOfKind,
  MarigoldpostError,
  type Random,
  SeededRandom,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  type ConfigChange,
  ConfigFollower,
  ConfigStore,
  configKey,
  type ConfigRecord,
} from '@marigoldpost/operations';
import type {PeerAddress, PeerTransport} from '@marigoldpost/peers';
import type {ObjectStore} from '@marigoldpost/platform';
import type {OperatorsConfig} from '@marigoldpost/settings';
import {MemoryObjectStore, MemoryPeerNetwork} from '@marigoldpost/standins';

/** Outcome of one change as reported to its operator. */
export interface ReportedOutcome {
  readonly text: string;
  readonly accepted?: ConfigRecord;
  readonly error?: MarigoldpostError;
}

/** One daemon that follows the configuration. */
export interface FollowingDaemon {
  readonly id: DaemonId;
  readonly transport: PeerTransport;
  follower: ConfigFollower;
  /** Versions that became active since the daemon's last start. */
  versions: number[];
}

/** Wraps the store through which operators write. */
export type StoreWrapper = (store: ObjectStore) => ObjectStore;

const invalidWord = 'invalid';

/** Accepts every text that does not contain the word `invalid`. */
export function parseText(text: string): OperatorsConfig {
  if (text.includes(invalidWord)) {
    throw MarigoldpostError.create('config_invalid', `line 1: ${text}`);
  }
  return {} as OperatorsConfig;
}

/** An in-memory store and network with operators and daemons. */
export class ConfigFixture {
  readonly clock = VirtualClock.create();
  readonly store = MemoryObjectStore.create({clock: this.clock});
  readonly network = MemoryPeerNetwork.create({clock: this.clock});
  readonly reported: ReportedOutcome[] = [];
  readonly daemons: FollowingDaemon[] = [];
  private readonly random: Random = SeededRandom.create(1);
  private readonly pending = new Set<Promise<void>>();

  constructor(private readonly wrapStore: StoreWrapper = (store) => store) {}

  createConfigStore(): ConfigStore {
    return ConfigStore.create({
      store: this.wrapStore(this.store.createClient('operators')),
      clock: this.clock,
      random: this.random,
      parse: parseText,
    });
  }

  /** Starts a change without waiting; its outcome is recorded. */
  startChange(change: Omit<ConfigChange, 'why'>): Promise<void> {
    const applied = this.createConfigStore()
      .applyChange({...change, why: `because of ${change.author}`})
      .then(
        (accepted) => this.reported.push({text: change.text, accepted}),
        (error: unknown) => this.recordError(change.text, error),
      )
      .then(() => {
        this.pending.delete(applied);
      });
    this.pending.add(applied);
    return applied;
  }

  /** Starts a change that is based on the newest version. */
  startEdit(author: string, text: string): void {
    const edit = this.createConfigStore()
      .getConfig()
      .then(
        (config) => {
          const baseVersion = config?.version ?? 0;
          return this.startChange({text, author, baseVersion});
        },
        () => undefined,
      )
      .then(() => {
        this.pending.delete(edit);
      });
    this.pending.add(edit);
  }

  /** Advances the clock until every change has ended. */
  async settle(): Promise<void> {
    const roundMs = 5000;
    while (this.pending.size > 0) await this.clock.advance(roundMs);
  }

  async addDaemon(name: string): Promise<FollowingDaemon> {
    const id = toId<DaemonId>(name);
    const transport = this.network.createTransport(id);
    await transport.start();
    const follower = this.createFollower(id, transport);
    const daemon = {id, transport, follower, versions: []};
    this.daemons.push(daemon);
    await this.startFollower(daemon);
    return daemon;
  }

  async restartDaemon(daemon: FollowingDaemon): Promise<void> {
    await daemon.follower.stop();
    daemon.follower = this.createFollower(daemon.id, daemon.transport);
    daemon.versions = [];
    await this.startFollower(daemon);
  }

  async stop(): Promise<void> {
    for (const {follower} of this.daemons) await follower.stop();
  }

  /** Reads the accepted configurations from the store, oldest first. */
  async readRecords(): Promise<ConfigRecord[]> {
    const audit = await this.store.listObjects('audit/');
    const current = await this.store.getObject(configKey);
    const records = audit.map(({value}) => JSON.parse(value) as ConfigRecord);
    if (current === undefined) return records;
    const last = JSON.parse(current.value) as ConfigRecord;
    return [...records.filter(({version}) => version < last.version), last];
  }

  private async startFollower(daemon: FollowingDaemon): Promise<void> {
    const {follower, transport} = daemon;
    follower.addListener({
      onConfigChanged: ({version}) => daemon.versions.push(version),
    });
    transport.setHandler(async function* (_sender, request) {
      if (request.case !== 'fetchConfig') return;
      const value = follower.handleFetch(request.value);
      yield {case: 'config', value};
    });
    const started = follower.start();
    await this.clock.advance(0);
    void started;
  }

  private createFollower(id: DaemonId, transport: PeerTransport) {
    return ConfigFollower.create({
      store: this.store.createClient(id),
      transport,
      clock: this.clock,
      random: this.random,
      parse: parseText,
      getPeers: () => this.getPeers(id),
    });
  }

  private getPeers(own: DaemonId): PeerAddress[] {
    return this.daemons
      .filter(({id}) => id !== own)
      .map(({id: daemon}) => ({daemon, address: `http://${daemon}`}));
  }

  private recordError(text: string, error: unknown): void {
    if (!isErrorOfKind(error)) throw error;
    this.reported.push({text, error});
  }
}
