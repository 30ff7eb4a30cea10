/** Applies the newest operators' configuration on one daemon. */
import {create} from '@bufbuild/protobuf';
import {
  Backoff,
  type Clock,
  type MarigoldpostError,
  type Random,
  toMarigoldpostError,
} from '@marigoldpost/common';
import {
  type PeerConfigVersion,
  type ConfigText,
  ConfigTextSchema,
  type FetchConfig,
  FetchConfigSchema,
  type PeerAddress,
  type PeerTransport,
} from '@marigoldpost/peers';
import type {ObjectStore} from '@marigoldpost/platform';
import type {OperatorsConfig} from '@marigoldpost/settings';
import {
  getConfigHash,
  configKey,
  type ParseConfig,
  parseConfigRecord,
} from './config_record.js';

const backoffOptions = {baseMs: 100, maxMs: 2000};
const fetchTimeoutMs = 3000;
/** Number of peers asked at once while no configuration is known. */
const maxPeersToAsk = 5;

/** The active configuration, as text and as parsed value. */
export interface ConfigInForce {
  readonly version: number;
  readonly hash: string;
  readonly text: string;
  readonly config: OperatorsConfig;
}

/** Sources of the configuration, its parser, clock and random source. */
export interface ConfigFollowerOptions {
  readonly store: ObjectStore;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly parse: ParseConfig;
  /** Gets the peers to ask, nearest first. */
  readonly getPeers: () => readonly PeerAddress[];
}

/** Receives changes of the configuration; its methods must not throw. */
export interface ConfigListener {
  /**
   * Called when a newer configuration becomes active.
   * @param current - The configuration.
   */
  onConfigChanged?(current: ConfigInForce): void;

  /**
   * Called when a newer configuration is rejected; the active one stays.
   * @param error - Why it was rejected.
   */
  onConfigRejected?(error: MarigoldpostError): void;
}

/** Watches the configuration in the platform, and fetches it from peers. */
export class ConfigFollower {
  private readonly listeners = new Set<ConfigListener>();
  private readonly controller = new AbortController();
  private current: ConfigInForce | undefined;
  private objectJson = '';
  private rejectedJson = '';
  private isFetching = false;
  private watchTask: Promise<void> | undefined;

  private constructor(private readonly options: ConfigFollowerOptions) {}

  /**
   * Creates a follower without a configuration; `start` looks for one.
   * @param options - Sources, parser, clock and random source.
   */
  static create(options: ConfigFollowerOptions): ConfigFollower {
    return new ConfigFollower(options);
  }

  /** Gets the active configuration; `undefined` until one is received. */
  getCurrent(): ConfigInForce | undefined {
    return this.current;
  }

  /**
   * Adds a listener; the function that it returns removes the listener.
   * @param listener - Receives changes from now on.
   */
  addListener(listener: ConfigListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Starts to watch; resolves after the first read, or fetch from peers. */
  async start(): Promise<void> {
    const sinceVersion = await this.readStore();
    if (this.current === undefined) await this.fetchFromPeers();
    this.watchTask = this.watch(sinceVersion);
  }

  /** Stops the watch and waits for its end. */
  async stop(): Promise<void> {
    this.controller.abort();
    await this.watchTask;
  }

  /**
   * Fetches a peer's configuration if its version is newer than the own one and
   * no such fetch is in flight.
   * @param peerVersion - The peer, and the version that its heartbeat announced.
   */
  async fetchIfNewer({peer, version}: PeerConfigVersion): Promise<void> {
    const own = this.current?.version ?? 0;
    if (version <= own || this.isFetching) return;
    this.isFetching = true;
    try {
      await this.fetchFrom(peer);
    } finally {
      this.isFetching = false;
    }
  }

  /**
   * Handles a peer's request for a newer configuration; the reply is empty if
   * there is none.
   * @param request - The version that the peer has.
   */
  handleFetch({aboveVersion}: FetchConfig): ConfigText {
    const version = this.current?.version ?? 0;
    if (version <= aboveVersion) return create(ConfigTextSchema, {});
    const {objectJson} = this;
    return create(ConfigTextSchema, {version: BigInt(version), objectJson});
  }

  /** Reads the configuration; gets the version to watch from, if reachable. */
  private async readStore(): Promise<number | undefined> {
    try {
      const object = await this.options.store.getObject(configKey);
      if (object !== undefined) this.applyIfNewer(object.value);
      return object?.version ?? 0;
    } catch {
      // While the platform is unreachable, peers provide the configuration.
      return undefined;
    }
  }

  private async watch(sinceVersion: number | undefined): Promise<void> {
    const {clock, random} = this.options;
    const {signal} = this.controller;
    const backoff = Backoff.create(backoffOptions, random);
    let version = sinceVersion;
    while (!signal.aborted) {
      const hadVersion = version !== undefined;
      version = await this.watchOnce(version);
      if (hadVersion && version !== undefined) backoff.reset();
      if (version !== undefined || signal.aborted) continue;
      if (this.current === undefined) await this.fetchFromPeers();
      await clock.sleep(backoff.nextDelayMs(), signal).catch(() => undefined);
    }
  }

  /** Waits for changes; `undefined` if the platform is unreachable. */
  private async watchOnce(
    sinceVersion: number | undefined,
  ): Promise<number | undefined> {
    if (sinceVersion === undefined) return this.readStore();
    const {store} = this.options;
    const {signal} = this.controller;
    try {
      const {changes, version} = await store.waitForChanges(
        configKey,
        sinceVersion,
        signal,
      );
      for (const {object} of changes) {
        if (object !== undefined) this.applyIfNewer(object.value);
      }
      return version;
    } catch {
      return undefined;
    }
  }

  private async fetchFromPeers(): Promise<void> {
    const peers = this.options.getPeers().slice(0, maxPeersToAsk);
    await Promise.all(peers.map((peer) => this.fetchFrom(peer)));
  }

  private async fetchFrom(peer: PeerAddress): Promise<void> {
    const aboveVersion = BigInt(this.current?.version ?? 0);
    const value = create(FetchConfigSchema, {aboveVersion});
    try {
      const reply = await this.options.transport.ask(
        peer,
        {case: 'fetchConfig', value},
        {timeoutMs: fetchTimeoutMs, signal: this.controller.signal},
      );
      if (reply.case !== 'config' || reply.value.version === 0n) return;
      this.applyIfNewer(reply.value.objectJson);
    } catch {
      // Retried at the next heartbeat that announces a newer version.
    }
  }

  /** Makes a configuration active if it is newer and valid. */
  private applyIfNewer(objectJson: string): void {
    if (objectJson === this.rejectedJson) return;
    try {
      const {version, text} = parseConfigRecord(objectJson);
      if (version <= (this.current?.version ?? 0)) return;
      const config = this.options.parse(text);
      this.current = {version, text, hash: getConfigHash(text), config};
      this.objectJson = objectJson;
    } catch (error) {
      this.reject(objectJson, toMarigoldpostError(error));
      return;
    }
    for (const listener of this.listeners) {
      listener.onConfigChanged?.(this.current);
    }
  }

  private reject(objectJson: string, error: MarigoldpostError): void {
    this.rejectedJson = objectJson;
    for (const listener of this.listeners) listener.onConfigRejected?.(error);
  }
}
