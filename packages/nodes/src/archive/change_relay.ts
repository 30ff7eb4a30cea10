/**
 * Passes changes of watched objects on to the entry VMs of the data centre, so
 * that the calls to the object API grow with the archives, not with the fleet.
 */
import {create} from '@bufbuild/protobuf';
import type {Clock} from '@marigoldpost/common';
import {
  type FetchChanges,
  type PeerReplyBody,
  SiteChangeSchema,
  SiteChangesSchema,
  SiteObjectSchema,
} from '@marigoldpost/peers';
import type {
  ObjectChange,
  ObjectChanges,
  ObjectListener,
} from '@marigoldpost/platform';
import {ChangeHistory} from './change_history.js';

/** Longest wait of one request. */
const maxWaitMs = 10_000;

/** Clock and state of the archive. */
export interface ChangeRelayOptions {
  readonly clock: Clock;
  /** Whether the archive is in contact with the object API. */
  readonly isInContact: () => boolean;
}

/** A prefix that the archive watches. */
interface RelayedPrefix {
  readonly history: ChangeHistory;
  /** Whether the watch has missed no change and its last call succeeded. */
  isRead: boolean;
  /** Ends the waits of requests. */
  readonly waits: Set<() => void>;
}

/** Answers requests that wait for changes from what the archive watches. */
export class ChangeRelay {
  private readonly prefixes = new Map<string, RelayedPrefix>();

  private constructor(private readonly options: ChangeRelayOptions) {}

  /**
   * Creates a relay without prefixes.
   * @param options - Clock and state of the archive.
   */
  static create(options: ChangeRelayOptions): ChangeRelay {
    return new ChangeRelay(options);
  }

  /**
   * Adds a prefix, and gets the listener for its watch.
   * @param prefix - Key prefix of the objects.
   */
  addPrefix(prefix: string): ObjectListener {
    const history = ChangeHistory.create();
    const waits = new Set<() => void>();
    const relayed: RelayedPrefix = {history, waits, isRead: false};
    this.prefixes.set(prefix, relayed);
    const endWaits = () => {
      for (const end of [...waits]) end();
    };
    return {
      replaceObjects: (objects) => history.addSet(objects),
      applyChange: (change) => history.add(change),
      onVersionRead: (version) => {
        history.recordVersion(version);
        relayed.isRead = true;
        endWaits();
      },
      onWatchFailed: () => {
        relayed.isRead = false;
        endWaits();
      },
      onWatchRecovered: () => undefined,
    };
  }

  /**
   * Leaves requests for a prefix to the object API until its watch reads again.
   * @param prefix - Prefix of which a change has been missed.
   */
  suspend(prefix: string): void {
    const relayed = this.prefixes.get(prefix);
    if (relayed === undefined) return;
    relayed.isRead = false;
    for (const end of [...relayed.waits]) end();
  }

  /** Gets the version up to which the objects of each prefix are known. */
  getVersions(): Map<string, number> {
    const versions = new Map<string, number>();
    for (const [prefix, {history}] of this.prefixes) {
      if (history.version !== undefined) versions.set(prefix, history.version);
    }
    return versions;
  }

  /**
   * Answers once there is a change, after the requested wait, or as soon as the
   * archive no longer knows the current objects.
   * @param request - Prefix and version of an entry VM.
   */
  async answer(request: FetchChanges): Promise<PeerReplyBody> {
    const relayed = this.prefixes.get(request.prefix);
    const sinceVersion = Number(request.sinceVersion);
    const endMs = this.options.clock.nowMs() + getWaitMs(request);
    for (;;) {
      const known = this.getSince(relayed, sinceVersion);
      if (relayed === undefined || known === undefined) return createReply();
      const leftMs = endMs - this.options.clock.nowMs();
      if (known.changes.length > 0 || leftMs <= 0) return createReply(known);
      await this.waitForRead(relayed, leftMs);
    }
  }

  private getSince(
    relayed: RelayedPrefix | undefined,
    version: number,
  ): ObjectChanges | undefined {
    if (relayed?.isRead !== true || !this.options.isInContact()) {
      return undefined;
    }
    return relayed.history.getSince(version);
  }

  private waitForRead({waits}: RelayedPrefix, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        timer.cancel();
        waits.delete(end);
        resolve();
      };
      const timer = this.options.clock.setTimer(waitMs, end);
      waits.add(end);
    });
  }
}

function getWaitMs({waitMs}: FetchChanges): number {
  return Number.isFinite(waitMs) ? Math.min(waitMs, maxWaitMs) : 0;
}

function createReply(known?: ObjectChanges): PeerReplyBody {
  const value =
    known === undefined
      ? create(SiteChangesSchema, {isCurrent: false})
      : create(SiteChangesSchema, {
          isCurrent: true,
          version: BigInt(known.version),
          changes: known.changes.map(toChangeMessage),
        });
  return {case: 'siteChanges', value};
}

function toChangeMessage({key, object, version}: ObjectChange) {
  const message = create(SiteChangeSchema, {key, version: BigInt(version)});
  if (object !== undefined) {
    const objectVersion = BigInt(object.version);
    const {value} = object;
    const fields = {key, value, version: objectVersion};
    message.object = create(SiteObjectSchema, fields);
  }
  return message;
}
