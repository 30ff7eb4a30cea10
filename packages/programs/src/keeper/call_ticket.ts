/** One admitted call. */
import type {ProgramId, TargetId} from '@marigoldpost/common';
import type {Call, CallAnswer} from '../calls/call.js';
import type {CallStream} from './call_stream.js';
import type {DispatchOptions, TurnContext, TurnReport} from './turn_context.js';

/** A call's place in its program, and the way to its answer. */
export abstract class CallTicket {
  abstract readonly call: Call;
  abstract readonly program: ProgramId;
  /** The answer, as it comes. */
  abstract readonly stream: CallStream;
  /** False when another ticket runs the call, or its answer is known. */
  abstract readonly isOwner: boolean;
  /** Aborted when the call must stop: its program ended, or the holder lost it. */
  abstract readonly signal: AbortSignal;

  /**
   * Waits until all earlier calls of the program are done. Throws
   * `program_ended`, `budget_exceeded`, `fenced` or the signal's reason; the
   * call has then failed and needs no `fail`.
   * @param signal - Gives the call up.
   */
  abstract waitForTurn(signal: AbortSignal): Promise<TurnContext>;

  /**
   * Commits what must be known before the call is sent to a target. Called
   * again for each target. Throws `budget_exceeded`, `platform_unavailable` or
   * `fenced`; the call must then not be sent, and `fail` ends it.
   * @param target - The target.
   * @param options - What became of the dispatch before.
   */
  abstract commitDispatch(
    target: TargetId,
    options?: DispatchOptions,
  ): Promise<void>;

  /**
   * Adds a token of the answer.
   * @param token - Position from 0, and text; a repeated one is ignored.
   */
  abstract addToken(token: {
    readonly index: number;
    readonly text: string;
  }): void;

  /**
   * Commits the turn, then ends the stream with the answer. Throws `fenced`
   * when another holder has taken over; the stream has then failed.
   * @param answer - The complete answer.
   * @param report - How the turn went.
   */
  abstract complete(answer: CallAnswer, report: TurnReport): Promise<void>;

  /**
   * Settles the budget by the error's outcome and ends the stream with it.
   * @param error - What went wrong; any error without an outcome is `unknown`.
   */
  abstract fail(error: Error): Promise<void>;
}
