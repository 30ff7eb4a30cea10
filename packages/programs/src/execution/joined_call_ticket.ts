/** Ticket of a re-sent call that does not run again. */
import {MarigoldpostError, type ProgramId} from '@marigoldpost/common';
import type {Call} from '../calls/call.js';
import type {CallStream} from './call_stream.js';
import {CallTicket} from './call_ticket.js';
import type {TurnContext} from './turn_context.js';

/**
 * Read-only ticket: another ticket runs the call, or its answer is replayed.
 * All methods throw `internal`; only the stream is used.
 */
export class JoinedCallTicket extends CallTicket {
  override readonly isOwner = false;
  override readonly signal: AbortSignal = new AbortController().signal;

  private constructor(
    override readonly call: Call,
    override readonly program: ProgramId,
    override readonly stream: CallStream,
  ) {
    super();
  }

  /**
   * Creates a ticket for a re-sent call.
   * @param call - The re-sent call.
   * @param program - Program of the call.
   * @param stream - Answer of the first sending.
   */
  static create(
    call: Call,
    program: ProgramId,
    stream: CallStream,
  ): JoinedCallTicket {
    return new JoinedCallTicket(call, program, stream);
  }

  override waitForTurn(): Promise<TurnContext> {
    throw this.createMisuseError();
  }

  override commitDispatch(): Promise<void> {
    throw this.createMisuseError();
  }

  override addToken(): void {
    throw this.createMisuseError();
  }

  override complete(): Promise<void> {
    throw this.createMisuseError();
  }

  override fail(): Promise<void> {
    throw this.createMisuseError();
  }

  private createMisuseError(): MarigoldpostError {
    const {callId} = this.call;
    return MarigoldpostError.create(
      'internal',
      `call "${callId}" does not run through this ticket; only its stream can be read`,
    );
  }
}
