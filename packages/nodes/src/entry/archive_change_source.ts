/**
 * Waits for changes of the site's objects at an archive of the own data centre,
 * or at the object API while no archive there knows the current objects. Both
 * count versions of the same store, so a wait goes on at another archive without
 * a new listing.
 */
import {create} from '@bufbuild/protobuf';
import {MarigoldpostError, waitUnlessAborted} from '@marigoldpost/common';
import {
  FetchChangesSchema,
  type PeerRequester,
  type SiteChange,
} from '@marigoldpost/peers';
import type {
  ChangeSource,
  ObjectChange,
  ObjectChanges,
} from '@marigoldpost/platform';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {ChangeReader, ChangeReaders} from './change_readers.js';

/**
 * Time beyond its wait after which a reader counts as lost. With the wait it
 * stays below 2 s, the shortest bound of changes of targets.
 */
const replyMarginMs = 600;
/** Readers that are asked before the object API, while each replies. */
const maxReaders = 2;
const storeName = 'object API';

/** Readers, transport and fallback of a source. */
export interface ArchiveChangeSourceOptions {
  readonly readers: ChangeReaders;
  readonly transport: PeerRequester;
  /** Object API; used while no reader knows the current objects. */
  readonly store: ChangeSource;
  /** Wait of one request; bounds how long a silent reader is relied on. */
  readonly pollMs: number;
  readonly logger: EventLogger;
}

/** Source that prefers archives; counts for the watches of one process. */
export class ArchiveChangeSource implements ChangeSource {
  /** Where changes of each prefix were last read, for the log. */
  private readonly sources = new Map<string, string>();

  private constructor(private readonly options: ArchiveChangeSourceOptions) {}

  /**
   * Creates a source.
   * @param options - Readers, transport and fallback.
   */
  static create(options: ArchiveChangeSourceOptions): ArchiveChangeSource {
    return new ArchiveChangeSource(options);
  }

  async waitForChanges(
    prefix: string,
    sinceVersion: number,
    signal: AbortSignal,
    waitMs?: number,
  ): Promise<ObjectChanges> {
    const {readers, store} = this.options;
    let reason = 'no archive of the data centre is reachable';
    for (const reader of readers.getOrdered().slice(0, maxReaders)) {
      try {
        const changes = await waitUnlessAborted(
          this.ask(reader, prefix, sinceVersion),
          signal,
          createAbortedError,
        );
        if (changes !== undefined) {
          this.recordSource(prefix, reader.daemon, '');
          return changes;
        }
        reason = `${reader.daemon} does not know the current objects`;
      } catch (error) {
        if (signal.aborted) throw error;
        readers.recordFailure(reader.daemon);
        reason = error instanceof Error ? error.message : String(error);
        // The time of a change's bound does not suffice for another reader.
        break;
      }
    }
    const isLeavingArchive = this.recordSource(prefix, storeName, reason);
    if (isLeavingArchive) {
      // What the archive has missed may no longer be in the store's history,
      // and the store may leave a wait from before it without an answer.
      throw MarigoldpostError.create('history_gone', reason);
    }
    return store.waitForChanges(prefix, sinceVersion, signal, waitMs);
  }

  /** Asks a reader; `undefined` if it does not know the current objects. */
  private async ask(
    reader: ChangeReader,
    prefix: string,
    sinceVersion: number,
  ): Promise<ObjectChanges | undefined> {
    const {transport, pollMs} = this.options;
    const value = create(FetchChangesSchema, {
      prefix,
      sinceVersion: BigInt(sinceVersion),
      waitMs: pollMs,
    });
    const request = {case: 'fetchChanges', value} as const;
    const timeoutMs = pollMs + replyMarginMs;
    const reply = await transport.ask(reader, request, timeoutMs);
    if (reply.case !== 'siteChanges' || !reply.value.isCurrent) {
      return undefined;
    }
    const {version, changes} = reply.value;
    return {version: Number(version), changes: changes.map(fromChangeMessage)};
  }

  /** Returns whether the source was an archive before and is another one. */
  private recordSource(
    prefix: string,
    source: string,
    reason: string,
  ): boolean {
    const previous = this.sources.get(prefix);
    if (previous === source) return false;
    this.sources.set(prefix, source);
    const fields = {prefix, source, reason};
    this.options.logger.log('change_source_changed', fields);
    return previous !== undefined && previous !== storeName;
  }
}

function fromChangeMessage({key, object, version}: SiteChange): ObjectChange {
  return {
    key,
    version: Number(version),
    object:
      object === undefined
        ? undefined
        : {key, value: object.value, version: Number(object.version)},
  };
}

function createAbortedError(): MarigoldpostError {
  const message = 'the wait for changes was aborted';
  return MarigoldpostError.create('store_unavailable', message);
}
