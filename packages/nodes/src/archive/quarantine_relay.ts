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
import type {Quarantine} from '@marigoldpost/targets';

/** Limits that are kept; far more than a site has targets. */
const maxLimits = 4000;

/** Merges the records of entry VMs and replies with those of the others. */
export class QuarantineRelay {
  private readonly limits: TargetLimits;

  private constructor(
    private readonly quarantine: Quarantine,
    private readonly clock: Clock,
    private readonly process: string,
  ) {
    this.limits = TargetLimits.create({clock, onChanged: () => undefined});
  }

  /**
   * Creates a relay.
   * @param quarantine - Quarantine that keeps the records.
   * @param clock - Clock of the ages of limits.
   * @param process - Differs for each process, since revisions start anew.
   */
  static create(
    quarantine: Quarantine,
    clock: Clock,
    process: string,
  ): QuarantineRelay {
    return new QuarantineRelay(quarantine, clock, process);
  }

  /**
   * Handles one request of an entry VM.
   * @param sender - The entry VM.
   * @param request - Entries of the entry VM and the revision that it has.
   */
  answer(sender: DaemonId, request: ExchangeQuarantines): PeerReplyBody {
    const {quarantine, limits, clock, process} = this;
    const isKnown = request.process === process;
    const sinceRevision = isKnown ? Number(request.sinceRevision) : 0;
    quarantine.mergeEntries(request.quarantines.map(fromQuarantineMessage));
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
