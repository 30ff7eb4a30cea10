/** Relays crash records and limits of targets among entry VMs, in memory. */
import {create} from '@bufbuild/protobuf';
import type {Clock, DaemonId} from '@marigoldpost/common';
import {TargetLimits} from '@marigoldpost/dispatch';
import {
  type ExchangeQuarantines,
  fromQuarantineMessage,
  fromTargetLimitMessage,
  type PeerReplyBody,
  QuarantineChangesSchema,
  toQuarantineMessage,
  toTargetLimitMessage,
} from '@marigoldpost/peers';
import type {Quarantine, QuarantineEntry} from '@marigoldpost/targets';

/** Limits that are kept; far more than a site has targets. */
const maxLimits = 4000;

/** Quarantine and clock of a relay. */
export interface QuarantineRelayOptions {
  /** Quarantine that keeps the records. */
  readonly quarantine: Quarantine;
  /** Clock of the ages of limits. */
  readonly clock: Clock;
  /** Differs for each process, since revisions start anew. */
  readonly process: string;
  /** Called with the entries that records of an entry VM have changed. */
  readonly onMerged: (entries: readonly QuarantineEntry[]) => void;
}

/** Merges the records of entry VMs and replies with those of the others. */
export class QuarantineRelay {
  private readonly limits: TargetLimits;

  private constructor(private readonly options: QuarantineRelayOptions) {
    const {clock} = options;
    this.limits = TargetLimits.create({clock, onChanged: () => undefined});
  }

  /**
   * Creates a relay.
   * @param options - Quarantine, clock and listener.
   */
  static create(options: QuarantineRelayOptions): QuarantineRelay {
    return new QuarantineRelay(options);
  }

  /**
   * Handles one request of an entry VM.
   * @param sender - The entry VM.
   * @param request - Entries of the entry VM and the revision that it has.
   */
  answer(sender: DaemonId, request: ExchangeQuarantines): PeerReplyBody {
    const {limits} = this;
    const {quarantine, clock, process, onMerged} = this.options;
    const isKnown = request.process === process;
    const sinceRevision = isKnown ? Number(request.sinceRevision) : 0;
    const received = request.quarantines.map(fromQuarantineMessage);
    const merged = quarantine.mergeEntries(received);
    if (merged.length > 0) onMerged(merged);
    const entries = quarantine.getEntries(sinceRevision);
    const nowMs = clock.nowMs();
    limits.merge(
      sender,
      request.targetLimits.map((limit) => fromTargetLimitMessage(limit, nowMs)),
    );
    limits.retainLatest(maxLimits);
    const sinceLimit = isKnown ? Number(request.sinceLimitRevision) : 0;
    const targetLimits = limits
      .getChanges(sinceLimit)
      .map((limit) => toTargetLimitMessage(limit, nowMs));
    const value = create(QuarantineChangesSchema, {
      process,
      revision: BigInt(quarantine.revision),
      quarantines: entries.map(toQuarantineMessage),
      limitRevision: BigInt(limits.revision),
      targetLimits,
    });
    return {case: 'quarantineChanges', value};
  }
}
