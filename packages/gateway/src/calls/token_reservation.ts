/** Reserves the tokens of one attempt at a turn from its program's budget. */
import {
  type DataCentreId,
  isErrorOfKind,
  MarigoldpostError,
  type ProgramId,
  type ServiceId,
  toId,
  toUint32,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {ConfirmReservation} from '@marigoldpost/turns';
import type {CallServices} from './call_services.js';
import type {IncomingCall} from './incoming_call.js';
import type {StreamObserver} from './stream_call.js';

/**
 * Time that a reservation outlasts its call, which sends no request to a target
 * afterwards.
 */
const lapseMarginMs = 500;
/** Share of a call's remaining time that it may wait for archives. */
export const maxWaitShare = 0.5;

/**
 * Tokens of an attempt; holds none if the call has no budget. The reservation
 * lapses unless a stream is passed on: the client of a process that ends before
 * has got no tokens, and nobody else knows of its attempt.
 */
export class TokenReservation implements StreamObserver {
  private confirmReservation: ConfirmReservation | undefined;

  private constructor(
    private readonly call: IncomingCall,
    private readonly services: CallServices,
    private readonly service: ServiceId,
  ) {}

  /**
   * Reserves the tokens that a call may generate. Throws the error to send to
   * the client if the budget does not hold them.
   * @param call - Call of a turn.
   * @param services - Components that all calls share.
   * @param service - Service that generates the tokens.
   * @param home - Data centre that counts the program while it is isolated;
   *   `undefined` if none does.
   */
  static async create(
    call: IncomingCall,
    services: CallServices,
    service: ServiceId,
    home: DataCentreId | undefined,
  ): Promise<TokenReservation> {
    const reservation = new TokenReservation(call, services, service);
    await reservation.reserve(home);
    return reservation;
  }

  /**
   * Gets the program of a call. A turn without one starts a program with the
   * turn's id.
   * @param call - Call of a turn.
   */
  static getProgram({attributes, requestId}: IncomingCall): ProgramId {
    return attributes.program ?? toId<ProgramId>(requestId);
  }

  /**
   * Gets the tokens of a number of events, rounded up.
   * @param events - Complete events of a stream.
   */
  getTokens(events: number): number {
    const {tokensPerEvent} = this;
    if (tokensPerEvent !== undefined) return toUint32(events * tokensPerEvent);
    throw MarigoldpostError.create(
      'internal',
      `service "${this.service}" serves turns but has no engine configured`,
    );
  }

  /**
   * Replaces the reservation by the tokens that the client may have received.
   * It stays as it is if the size of events is not configured. Resolves when the
   * client may be told that the attempt has ended; see `TurnStore.settle`.
   * @param events - Complete events that were sent to the client.
   */
  async settle(events: number): Promise<void> {
    if (this.call.attributes.budgetTokens === undefined) return;
    const program = TokenReservation.getProgram(this.call);
    if (events > 0 && this.tokensPerEvent === undefined) return;
    const tokens = events === 0 ? 0 : this.getTokens(events);
    await this.services.turns.settle(program, this.attempt, tokens);
  }

  /**
   * Confirms the reservation, since the client may receive tokens from now on.
   * `false` if it may not: others may take the tokens once the reservation lapses.
   */
  async beforeStream(): Promise<boolean> {
    if (this.confirmReservation === undefined) return true;
    return (await this.confirmReservation()) && this.call.leftMs > 0;
  }

  /** Releases the tokens, of which the client receives none. */
  async beforeErrorResponse(): Promise<void> {
    await this.settle(0);
  }

  private get tokensPerEvent(): number | undefined {
    const service = this.call.config.services.get(this.service);
    return service?.engine?.tokensPerEvent;
  }

  private get attempt(): TurnId {
    return toId<TurnId>(this.call.requestId);
  }

  private async reserve(home: DataCentreId | undefined): Promise<void> {
    const {budgetTokens, maxOutputTokens} = this.call.attributes;
    if (budgetTokens === undefined || maxOutputTokens === undefined) return;
    const {clock, metrics, turns} = this.services;
    const program = TokenReservation.getProgram(this.call);
    const startMs = clock.nowMs();
    try {
      const request = {
        program,
        attempt: this.attempt,
        tokens: maxOutputTokens,
        budgetTokens,
        home,
        maxWaitMs: this.call.leftMs * maxWaitShare,
        signal: this.call.signal,
        lapseMs: Math.max(0, Math.ceil(this.call.leftMs)) + lapseMarginMs,
      };
      this.confirmReservation = await turns.reserve(request);
    } catch (error) {
      if (isErrorOfKind(error, 'tokens_spent', 'limit_reached')) {
        this.call.logger.log('budget_refused', {
          program,
          budgetTokens,
          wantedTokens: maxOutputTokens,
          ...error.counts,
        });
      }
      throw error;
    }
    metrics.recordValue('reservation_ms', {}, clock.nowMs() - startMs);
  }
}
