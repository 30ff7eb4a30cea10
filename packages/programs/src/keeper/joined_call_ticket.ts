/** Ticket of a re-sent call: another ticket runs it, or its answer is known. */
import {MarigoldpostError, type ProgramId} from '@marigoldpost/common';
import type {Call} from '../calls/call.js';
import type {CallStream} from './call_stream.js';
import {CallTicket} from './call_ticket.js';
import type {TurnContext} from './turn_context.js';

/** A ticket that only reads. */
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
   * Creates a ticket.
   * @param call - The re-sent call.
   * @param program - Its program.
   * @param stream - The answer of the first call.
   */
  static create(
    call: Call,
    program: ProgramId,
    stream: CallStream,
  ): JoinedCallTicket {
    return new JoinedCallTicket(call, program, stream);
  }

  override waitForTurn(): Promise<TurnContext> {
    throw this.createMisuse();
  }

  override commitDispatch(): Promise<void> {
    throw this.createMisuse();
  }

  override addToken(): void {
    throw this.createMisuse();
  }

  override complete(): Promise<void> {
    throw this.createMisuse();
  }

  override fail(): Promise<void> {
    throw this.createMisuse();
  }

  private createMisuse(): MarigoldpostError {
    const {callId} = this.call;
    return MarigoldpostError.create(
      'internal',
      `call "${callId}" is run by another ticket`,
    );
  }
}
