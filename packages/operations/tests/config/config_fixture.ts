/** Operators and daemons around one object store, with what each was told. */
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
  operatorsTextKey,
  type OperatorsText,
} from '@marigoldpost/operations';
import type {PeerAddress, PeerTransport} from '@marigoldpost/peers';
import type {ObjectStore} from '@marigoldpost/platform';
import type {OperatorsConfig} from '@marigoldpost/settings';
import {MemoryObjectStore, MemoryPeerNetwork} from '@marigoldpost/standins';

/** What one operator was told about one change. */
export interface ToldOutcome {
  readonly text: string;
  readonly accepted?: OperatorsText;
  readonly error?: MarigoldpostError;
}

/** One daemon that follows the text. */
export interface FollowingDaemon {
  readonly id: DaemonId;
  readonly transport: PeerTransport;
  follower: ConfigFollower;
  /** Versions in force since the daemon's last start. */
  versions: number[];
}

/** Changes the store that an operator writes through. */
export type StoreWrapper = (store: ObjectStore) => ObjectStore;

const invalidMark = 'invalid';

/** Accepts every text without the word `invalid`. */
export function parseText(text: string): OperatorsConfig {
  if (text.includes(invalidMark)) {
    throw MarigoldpostError.create('config_invalid', `line 1: ${text}`);
  }
  return {} as OperatorsConfig;
}

/** Store, network, operators and daemons. */
export class ConfigFixture {
  readonly clock = VirtualClock.create();
  readonly store = MemoryObjectStore.create({clock: this.clock});
  readonly network = MemoryPeerNetwork.create({clock: this.clock});
  readonly told: ToldOutcome[] = [];
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

  /** Starts a change without waiting; what comes of it is noted. */
  startChange(change: Omit<ConfigChange, 'why'>): Promise<void> {
    const applied = this.createConfigStore()
      .applyChange({...change, why: `because of ${change.author}`})
      .then(
        (accepted) => this.told.push({text: change.text, accepted}),
        (error: unknown) => this.noteError(change.text, error),
      )
      .then(() => {
        this.pending.delete(applied);
      });
    this.pending.add(applied);
    return applied;
  }

  /** Starts an edit of whatever text is in force. */
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

  /** Lets every change come to its end. */
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

  /** Gets the accepted texts, oldest first, as the store has them. */
  async readChain(): Promise<OperatorsText[]> {
    const audit = await this.store.listObjects('audit/');
    const current = await this.store.getObject(operatorsTextKey);
    const chain = audit.map(({value}) => JSON.parse(value) as OperatorsText);
    if (current === undefined) return chain;
    const last = JSON.parse(current.value) as OperatorsText;
    return [...chain.filter(({version}) => version < last.version), last];
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

  private noteError(text: string, error: unknown): void {
    if (!isErrorOfKind(error)) throw error;
    this.told.push({text, error});
  }
}
