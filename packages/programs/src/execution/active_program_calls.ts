/** Admitted calls of one program that have not ended. */
import type {Call} from '../calls/call.js';
import {CallQueue} from './call_queue.js';
import type {OwnedCallTicket} from './owned_call_ticket.js';

/** Queue and tickets of one program's active calls. */
export class ActiveProgramCalls {
  readonly queue = CallQueue.create();
  private readonly tickets = new Set<OwnedCallTicket>();

  private constructor() {}

  /** Creates an instance without calls. */
  static create(): ActiveProgramCalls {
    return new ActiveProgramCalls();
  }

  /** Whether the program has no active call. */
  get isIdle(): boolean {
    return this.tickets.size === 0;
  }

  /** Gets the tickets in order of admission. */
  getTickets(): Iterable<OwnedCallTicket> {
    return this.tickets;
  }

  /**
   * Gets the ticket with a call's id or idempotency key, or undefined.
   * @param call - Call that may be a re-sent one.
   */
  findTicket(call: Call): OwnedCallTicket | undefined {
    for (const ticket of this.tickets) {
      if (ticket.call.callId === call.callId) return ticket;
      const key = ticket.call.idempotencyKey;
      if (key !== undefined && key === call.idempotencyKey) return ticket;
    }
    return undefined;
  }

  /**
   * Adds the ticket of a newly admitted call.
   * @param ticket - Ticket with an entry in the queue.
   */
  addTicket(ticket: OwnedCallTicket): void {
    this.tickets.add(ticket);
  }

  /**
   * Removes the ticket of a call that has ended.
   * @param ticket - Ticket that was added before.
   */
  removeTicket(ticket: OwnedCallTicket): void {
    this.tickets.delete(ticket);
  }
}
