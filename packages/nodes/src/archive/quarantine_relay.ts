/** Relays crash records among entry VMs; keeps them in memory only. */
import {create} from '@bufbuild/protobuf';
import {
  type ExchangeQuarantines,
  fromQuarantineMessage,
  type PeerReplyBody,
  QuarantineChangesSchema,
  toQuarantineMessage,
} from '@marigoldpost/peers';
import type {Quarantine} from '@marigoldpost/targets';

/** Merges the records of entry VMs and replies with those of the others. */
export class QuarantineRelay {
  private constructor(
    private readonly quarantine: Quarantine,
    private readonly process: string,
  ) {}

  /**
   * Creates a relay.
   * @param quarantine - Quarantine that keeps the records.
   * @param process - Differs for each process, since revisions start anew.
   */
  static create(quarantine: Quarantine, process: string): QuarantineRelay {
    return new QuarantineRelay(quarantine, process);
  }

  /**
   * Handles one request of an entry VM.
   * @param request - Entries of the entry VM and the revision that it has.
   */
  answer(request: ExchangeQuarantines): PeerReplyBody {
    const {quarantine, process} = this;
    const isKnown = request.process === process;
    const sinceRevision = isKnown ? Number(request.sinceRevision) : 0;
    quarantine.mergeEntries(request.quarantines.map(fromQuarantineMessage));
    const entries = quarantine.getEntries(sinceRevision);
    const value = create(QuarantineChangesSchema, {
      process,
      revision: BigInt(quarantine.revision),
      quarantines: entries.map(toQuarantineMessage),
    });
    return {case: 'quarantineChanges', value};
  }
}
