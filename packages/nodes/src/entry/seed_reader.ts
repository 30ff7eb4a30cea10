/**
 * Lets an entry VM begin with what an archive knows of the site while the object
 * API does not answer it. What the object API says later goes first.
 */
import {create} from '@bufbuild/protobuf';
import {type Clock, type DaemonId, toId} from '@marigoldpost/common';
import {FetchSiteSchema, type PeerRequester} from '@marigoldpost/peers';
import type {StoredObject} from '@marigoldpost/platform';
import type {NetworkAddress} from '@marigoldpost/sites';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {ObjectSink} from '../utils/object_sink.js';

/** The object API answers within some milliseconds when it is well. */
const firstWaitMs = 400;
/** Pause between two rounds over the seeds. */
const roundMs = 700;
/** Longest wait for one seed: far above a way between data centres. */
const replyTimeoutMs = 300;

/** One part of what an entry VM needs. */
export interface SeedPart {
  readonly prefix: string;
  readonly sink: ObjectSink;
  /** Whether the object API, or an archive, has said it already. */
  readonly isKnown: () => boolean;
}

/** Options of a reader. */
export interface SeedReaderOptions {
  /** Archives that may know the site; some may be away. */
  readonly seeds: readonly NetworkAddress[];
  readonly transport: PeerRequester;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly parts: readonly SeedPart[];
}

/** Reader of one entry VM. */
export class SeedReader {
  private constructor(private readonly options: SeedReaderOptions) {}

  /**
   * Creates a reader.
   * @param options - Whom to ask, and what for.
   */
  static create(options: SeedReaderOptions): SeedReader {
    return new SeedReader(options);
  }

  /**
   * Works until each part is known.
   * @param signal - Ends the work.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, seeds} = this.options;
    await clock.sleep(firstWaitMs, signal);
    while (!this.isDone && !signal.aborted) {
      for (const seed of seeds) {
        if (!this.isDone) await this.askSeed(seed);
      }
      await clock.sleep(roundMs, signal);
    }
  }

  private get isDone(): boolean {
    return this.options.parts.every(({isKnown}) => isKnown());
  }

  private async askSeed({host, port}: NetworkAddress): Promise<void> {
    const {transport, logger} = this.options;
    const address = `http://${host}:${port}`;
    // Seeds are addresses only; the name serves the transport's own log.
    const peer = {daemon: toId<DaemonId>(`seed-${host}`), address};
    const value = create(FetchSiteSchema);
    try {
      const request = {case: 'fetchSite', value} as const;
      const reply = await transport.ask(peer, request, replyTimeoutMs);
      if (reply.case !== 'siteObjects') return;
      const objects = reply.value.objects.map((object) => ({
        key: object.key,
        value: object.value,
        version: Number(object.version),
      }));
      this.apply(objects, address);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      logger.log('seed_failed', {seed: address, message});
    }
  }

  private apply(objects: readonly StoredObject[], seed: string): void {
    for (const {prefix, sink, isKnown} of this.options.parts) {
      const known = objects.filter(({key}) => key.startsWith(prefix));
      if (isKnown() || known.length === 0) continue;
      sink.replaceObjects(known);
      const fields = {seed, prefix, objects: known.length};
      this.options.logger.log('site_read_from_seed', fields);
    }
  }
}
