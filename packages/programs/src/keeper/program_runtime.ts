/** What runs in one program, at this holder. */
import type {Call} from '../calls/call.js';
import {CallQueue} from './call_queue.js';
import type {OwnedCallTicket} from './owned_call_ticket.js';

/** The calls of one program that have been admitted and are not over. */
export class ProgramRuntime {
  readonly queue = CallQueue.create();
  private readonly tickets = new Set<OwnedCallTicket>();

  private constructor() {}

  /** Creates a runtime without calls. */
  static create(): ProgramRuntime {
    return new ProgramRuntime();
  }

  /** Whether no call is under way. */
  get isIdle(): boolean {
    return this.tickets.size === 0;
  }

  /** Gets the tickets in order of admission. */
  getTickets(): Iterable<OwnedCallTicket> {
    return this.tickets;
  }

  /**
   * Gets the ticket that a re-sent call joins, if any.
   * @param call - The re-sent call.
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
   * Adds a ticket.
   * @param ticket - The ticket.
   */
  addTicket(ticket: OwnedCallTicket): void {
    this.tickets.add(ticket);
  }

  /**
   * Removes a ticket whose call is over.
   * @param ticket - The ticket.
   */
  removeTicket(ticket: OwnedCallTicket): void {
    this.tickets.delete(ticket);
  }
}
