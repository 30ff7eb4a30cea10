/**
 * Lets an entry VM start from the objects that an archive has mirrored, while
 * the object API does not respond. Objects that the object API sends later
 * replace them.
 */
import {create} from '@bufbuild/protobuf';
import {type Clock, type DaemonId, toId} from '@marigoldpost/common';
import {FetchSiteSchema, type PeerRequester} from '@marigoldpost/peers';
import type {StoredObject} from '@marigoldpost/platform';
import type {NetworkAddress} from '@marigoldpost/sites';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {ObjectSink} from '../utils/object_sink.js';

/** Delay of the first request; a healthy object API responds in some ms. */
const initialDelayMs = 400;
/** Pause between two rounds over the seeds. */
const roundIntervalMs = 700;
/** Reply time-out of one seed; far above the latency between data centres. */
const replyTimeoutMs = 300;

/** Objects of one prefix that an entry VM needs, and their consumer. */
export interface SeedPart {
  readonly prefix: string;
  readonly sink: ObjectSink;
  /** Whether the object API or a seed has provided these objects already. */
  readonly isLoaded: () => boolean;
}

/** Seeds and required objects of a reader. */
export interface SeedReaderOptions {
  /** Addresses of archives; some may be down. */
  readonly seeds: readonly NetworkAddress[];
  readonly transport: PeerRequester;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly parts: readonly SeedPart[];
}

/** What one seed knows. */
interface SeedReply {
  readonly seed: string;
  readonly objects: readonly StoredObject[];
  /** Version up to which the seed knows the objects of each prefix. */
  readonly versions: ReadonlyMap<string, number>;
}

/** Asks all seeds until every part is loaded. */
export class SeedReader {
  private constructor(private readonly options: SeedReaderOptions) {}

  /**
   * Creates a reader; `run` starts it.
   * @param options - Seeds, transport and required objects.
   */
  static create(options: SeedReaderOptions): SeedReader {
    return new SeedReader(options);
  }

  /**
   * Asks the seeds until each part is loaded.
   * @param signal - Stops the reader when aborted.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, seeds} = this.options;
    await clock.sleep(initialDelayMs, signal);
    while (!this.isDone && !signal.aborted) {
      const replies = await Promise.all(
        seeds.map((seed) => this.fetchFromSeed(seed)),
      );
      this.apply(replies.filter((reply) => reply !== undefined));
      await clock.sleep(roundIntervalMs, signal);
    }
  }

  private get isDone(): boolean {
    return this.options.parts.every(({isLoaded}) => isLoaded());
  }

  private async fetchFromSeed({
    host,
    port,
  }: NetworkAddress): Promise<SeedReply | undefined> {
    const {transport, logger} = this.options;
    const address = `http://${host}:${port}`;
    // Seeds have no daemon id; this one identifies the peer in the transport.
    const peer = {daemon: toId<DaemonId>(`seed-${host}`), address};
    const value = create(FetchSiteSchema);
    try {
      const request = {case: 'fetchSite', value} as const;
      const reply = await transport.ask(peer, request, replyTimeoutMs);
      if (reply.case !== 'siteObjects') return undefined;
      const objects = reply.value.objects.map((object) => ({
        key: object.key,
        value: object.value,
        version: Number(object.version),
      }));
      const versions = new Map(
        reply.value.versions.map(({prefix, version}) => [
          prefix,
          Number(version),
        ]),
      );
      return {seed: address, objects, versions};
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      logger.log('seed_failed', {seed: address, message});
      return undefined;
    }
  }

  /**
   * Uses the latest objects of each part: a seed may have lost the object API
   * long ago and still list targets that have left since.
   */
  private apply(replies: readonly SeedReply[]): void {
    for (const {prefix, sink, isLoaded} of this.options.parts) {
      const latest = replies
        .map(({seed, objects, versions}) => ({
          seed,
          objects: objects.filter(({key}) => key.startsWith(prefix)),
          version: versions.get(prefix) ?? 0,
        }))
        .filter(({objects}) => objects.length > 0)
        .toSorted((left, right) => right.version - left.version)[0];
      if (latest === undefined || isLoaded()) continue;
      const {seed, objects} = latest;
      sink.replaceObjects(objects);
      const fields = {seed, prefix, objects: objects.length};
      this.options.logger.log('site_read_from_seed', fields);
    }
  }
}
