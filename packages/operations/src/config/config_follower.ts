/** Keeps the newest operators' text in force on one daemon. */
import {create} from '@bufbuild/protobuf';
import {
  Backoff,
  type Clock,
  type MarigoldpostError,
  type Random,
  toMarigoldpostError,
} from '@marigoldpost/common';
import {
  type ConfigNotice,
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
  getTextHash,
  operatorsTextKey,
  type ParseOperatorsText,
  parseOperatorsText,
} from './operators_text.js';

const retryWaits = {baseMs: 100, maxMs: 2000};
const fetchTimeoutMs = 3000;
/** Peers asked at once by a daemon that has no text yet. */
const maxPeersAsked = 5;

/** The text in force. */
export interface ConfigInForce {
  readonly version: number;
  readonly hash: string;
  readonly text: string;
  readonly config: OperatorsConfig;
}

/** What a follower needs. */
export interface ConfigFollowerOptions {
  readonly store: ObjectStore;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly parse: ParseOperatorsText;
  /** Gets the peers to ask, nearest first. */
  readonly getPeers: () => readonly PeerAddress[];
}

/** Gets notices; must not throw. */
export interface ConfigListener {
  /**
   * A newer text is in force.
   * @param current - The text.
   */
  onConfigChanged?(current: ConfigInForce): void;

  /**
   * A newer text was refused; the one in force stays.
   * @param error - Why.
   */
  onConfigRefused?(error: MarigoldpostError): void;
}

/** Follows the operators' text in the platform and at peers. */
export class ConfigFollower {
  private readonly listeners = new Set<ConfigListener>();
  private readonly controller = new AbortController();
  private current: ConfigInForce | undefined;
  private objectJson = '';
  private refusedJson = '';
  private isFetching = false;
  private watching: Promise<void> | undefined;

  private constructor(private readonly options: ConfigFollowerOptions) {}

  /**
   * Creates a follower that has no text yet.
   * @param options - What it needs.
   */
  static create(options: ConfigFollowerOptions): ConfigFollower {
    return new ConfigFollower(options);
  }

  /** Gets the text in force; nothing until one is known. */
  getCurrent(): ConfigInForce | undefined {
    return this.current;
  }

  /**
   * Adds a listener; returns what removes it.
   * @param listener - Gets the notices.
   */
  addListener(listener: ConfigListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Follows the text until stopped; fulfilled after the first tries. */
  async start(): Promise<void> {
    const sinceVersion = await this.readStore();
    if (this.current === undefined) await this.askPeers();
    this.watching = this.watch(sinceVersion);
  }

  /** Ends the watch. */
  async stop(): Promise<void> {
    this.controller.abort();
    await this.watching;
  }

  /**
   * Fetches the text of a peer that has a newer one.
   * @param notice - What the peer's heartbeat told.
   */
  async noteVersion({peer, version}: ConfigNotice): Promise<void> {
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
   * Answers a peer that asks for a newer text.
   * @param request - The version that the peer has.
   */
  handleFetch({aboveVersion}: FetchConfig): ConfigText {
    const version = this.current?.version ?? 0;
    if (version <= aboveVersion) return create(ConfigTextSchema, {});
    const {objectJson} = this;
    return create(ConfigTextSchema, {version: BigInt(version), objectJson});
  }

  /** Reads the text; returns the version to watch from, if it could. */
  private async readStore(): Promise<number | undefined> {
    try {
      const object = await this.options.store.getObject(operatorsTextKey);
      if (object !== undefined) this.offer(object.value);
      return object?.version ?? 0;
    } catch {
      // Peers have the text while the platform is away.
      return undefined;
    }
  }

  private async watch(sinceVersion: number | undefined): Promise<void> {
    const {clock, random} = this.options;
    const {signal} = this.controller;
    const backoff = Backoff.create(retryWaits, random);
    let version = sinceVersion;
    while (!signal.aborted) {
      const wasRead = version !== undefined;
      version = await this.watchOnce(version);
      if (wasRead && version !== undefined) backoff.reset();
      if (version !== undefined || signal.aborted) continue;
      if (this.current === undefined) await this.askPeers();
      await clock.sleep(backoff.nextDelayMs(), signal).catch(() => undefined);
    }
  }

  /** Waits for one batch of changes; nothing when the platform is away. */
  private async watchOnce(
    sinceVersion: number | undefined,
  ): Promise<number | undefined> {
    if (sinceVersion === undefined) return this.readStore();
    const {store} = this.options;
    const {signal} = this.controller;
    try {
      const {changes, version} = await store.waitForChanges(
        operatorsTextKey,
        sinceVersion,
        signal,
      );
      for (const {object} of changes) {
        if (object !== undefined) this.offer(object.value);
      }
      return version;
    } catch {
      return undefined;
    }
  }

  private async askPeers(): Promise<void> {
    const peers = this.options.getPeers().slice(0, maxPeersAsked);
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
      this.offer(reply.value.objectJson);
    } catch {
      // The next heartbeat that shows a newer version leads to another try.
    }
  }

  /** Puts a text in force if it is newer and valid. */
  private offer(objectJson: string): void {
    if (objectJson === this.refusedJson) return;
    try {
      const {version, text} = parseOperatorsText(objectJson);
      if (version <= (this.current?.version ?? 0)) return;
      const config = this.options.parse(text);
      this.current = {version, text, hash: getTextHash(text), config};
      this.objectJson = objectJson;
    } catch (error) {
      this.refuse(objectJson, toMarigoldpostError(error));
      return;
    }
    for (const listener of this.listeners) {
      listener.onConfigChanged?.(this.current);
    }
  }

  private refuse(objectJson: string, error: MarigoldpostError): void {
    this.refusedJson = objectJson;
    for (const listener of this.listeners) listener.onConfigRefused?.(error);
  }
}
