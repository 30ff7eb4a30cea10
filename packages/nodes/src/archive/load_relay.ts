/** Relays the loads of targets among entry VMs, in memory. */
import {create} from '@bufbuild/protobuf';
import type {Clock, DaemonId} from '@marigoldpost/common';
import {LoadTotals} from '@marigoldpost/dispatch';
import {
  type ExchangeLoads,
  LoadSumsSchema,
  type PeerReplyBody,
} from '@marigoldpost/peers';
import {fromLoadMessage, toLoadMessage} from '../utils/load_codec.js';

/** Replies to the report of an entry VM with the sums of the others. */
export class LoadRelay {
  private readonly totals: LoadTotals;

  private constructor(clock: Clock) {
    this.totals = LoadTotals.create(clock);
  }

  /**
   * Creates a relay without reports.
   * @param clock - Clock of the ages of reports.
   */
  static create(clock: Clock): LoadRelay {
    return new LoadRelay(clock);
  }

  /**
   * Handles the report of an entry VM.
   * @param sender - The entry VM.
   * @param request - Its requests at targets.
   */
  answer(sender: DaemonId, {loads}: ExchangeLoads): PeerReplyBody {
    const sums = this.totals.exchange(sender, loads.map(fromLoadMessage));
    const value = create(LoadSumsSchema, {loads: sums.map(toLoadMessage)});
    return {case: 'loadSums', value};
  }
}
