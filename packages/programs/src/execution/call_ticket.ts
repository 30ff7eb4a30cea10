/** Handle of one admitted call. */
import type {ProgramId, TargetId} from '@marigoldpost/common';
import type {Call, CallAnswer} from '../calls/call.js';
import type {CallStream} from './call_stream.js';
import type {DispatchOptions, TurnContext, TurnReport} from './turn_context.js';

/** Handle by which the runner of an admitted call reports its progress. */
export abstract class CallTicket {
  abstract readonly call: Call;
  abstract readonly program: ProgramId;
  /** Answer of the call; readers may start before it is complete. */
  abstract readonly stream: CallStream;
  /**
   * Whether the call runs through this ticket. False when another ticket runs
   * it, or its answer is replayed.
   */
  abstract readonly isOwner: boolean;
  /**
   * Aborted when the call must stop: its program ended, or the partition is no
   * longer held here.
   */
  abstract readonly signal: AbortSignal;

  /**
   * Waits until all earlier calls of the program have ended. Throws
   * `program_ended`, `budget_exceeded`, `fenced` or the signal's reason; the
   * call has then failed and needs no `fail`.
   * @param signal - Cancels the call.
   */
  abstract waitForTurn(signal: AbortSignal): Promise<TurnContext>;

  /**
   * Commits the dispatch record that must precede sending the call to a target.
   * Called again for each attempt. Throws `budget_exceeded`, `outcome_unknown`,
   * `platform_unavailable` or `fenced`; the call must then not be sent, and
   * `fail` ends it.
   * @param target - Target that the call is about to be sent to.
   * @param options - Outcome of the previous dispatch, and whether to resume
   * it.
   */
  abstract commitDispatch(
    target: TargetId,
    options?: DispatchOptions,
  ): Promise<void>;

  /**
   * Adds a token of the answer.
   * @param token - Position from 0, and text; a token already added is ignored.
   */
  abstract addToken(token: {
    readonly index: number;
    readonly text: string;
  }): void;

  /**
   * Commits the turn, then ends the stream with the answer. Throws `fenced`
   * when another holder has taken over; the stream has then failed.
   * @param answer - The complete answer.
   * @param report - Target, wait and placement terms of the turn.
   */
  abstract complete(answer: CallAnswer, report: TurnReport): Promise<void>;

  /**
   * Settles the reserved budget by the error's outcome and ends the stream with
   * the error.
   * @param error - Cause of the failure; without an outcome it is `unknown`.
   */
  abstract fail(error: Error): Promise<void>;
}
