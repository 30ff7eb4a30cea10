/** Serves turns of programs: streaming calls whose history is stored. */
import {
  MarigoldpostError,
  type ProgramId,
  type ServiceId,
  toId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {buildPrompt, type TurnChain} from '@marigoldpost/turns';
import type {CallServices} from './call_services.js';
import type {IncomingCall} from './incoming_call.js';
import {failCall, finishStream} from './end_call.js';
import {relayStreamCall, type ServedStream} from './stream_call.js';
import {maxWaitShare, TokenReservation} from './token_reservation.js';

/** A turn that is being served. */
export class TurnCall {
  private readonly turn: TurnId;
  private readonly program: ProgramId;

  private constructor(
    private readonly call: IncomingCall,
    private readonly services: CallServices,
    private readonly service: ServiceId,
    private readonly input: Buffer,
  ) {
    this.turn = toId<TurnId>(call.requestId);
    this.program = TokenReservation.getProgram(call);
  }

  /**
   * Serves a turn: reads its history, reserves tokens, relays the stream and
   * stores the turn before the client's response ends. Throws the error to send
   * to the client if the response has not started.
   * @param call - Call whose body has been read.
   * @param services - Components that all calls share.
   * @param service - Service that was selected from the route.
   * @param input - Text that the turn appends to the prompt.
   */
  static serve(
    call: IncomingCall,
    services: CallServices,
    service: ServiceId,
    input: Buffer,
  ): Promise<void> {
    return new TurnCall(call, services, service, input).serve();
  }

  private async serve(): Promise<void> {
    const chain = await this.readChain();
    const {call, services, service} = this;
    const home = this.getHomeDataCentre(chain);
    await services.turns.requireDurability({
      maxWaitMs: call.leftMs * maxWaitShare,
      signal: call.signal,
    });
    const reservation = await TokenReservation.create(
      call,
      services,
      service,
      home,
    );
    const prompt = buildPrompt(chain, this.input);
    let result: ServedStream | undefined;
    try {
      const previousPrompt = chain.at(-1);
      const body = {bytes: prompt, isPresent: true, previousPrompt};
      result = await relayStreamCall(
        call,
        services,
        service,
        body,
        reservation,
      );
    } catch (error) {
      await reservation.settle(0);
      throw error;
    }
    if (result !== undefined) await this.finish(chain, result, reservation);
  }

  private async readChain(): Promise<TurnChain> {
    const {previousTurn} = this.call.attributes;
    if (previousTurn === undefined) return [];
    const startMs = this.services.clock.nowMs();
    const {call} = this;
    const chain = await this.services.turns.readChain(previousTurn, {
      maxWaitMs: call.leftMs * maxWaitShare,
      signal: call.signal,
      neededMs: Math.max(0, call.leftMs),
    });
    this.checkOwner(chain, previousTurn);
    this.call.logger.log('turn_read', {
      previous: previousTurn,
      turns: chain.length,
      promptBytes: chain.reduce(
        (bytes, {input, output}) =>
          bytes + input.byteLength + output.byteLength,
        this.input.byteLength,
      ),
      elapsedMs: Math.round(this.services.clock.nowMs() - startMs),
    });
    return chain;
  }

  /**
   * Throws `unknown_turn` if any turn of the chain is of another tenant: its
   * existence is not to be learned, and the prompt would have its content. A
   * turn whose tenant is not known may be continued by all, since a build that
   * does not record it stored it, which may have appended it to a turn of any
   * tenant.
   */
  private checkOwner(chain: TurnChain, previousTurn: TurnId): void {
    const {caller} = this.call;
    if (caller === undefined) return;
    const isOthers = chain.some(
      ({tenant}) => tenant !== undefined && tenant !== caller.tenant,
    );
    if (!isOthers) return;
    const message = `no archive stores turn "${previousTurn}"`;
    throw MarigoldpostError.create('unknown_turn', message);
  }

  private async finish(
    chain: TurnChain,
    result: ServedStream,
    reservation: TokenReservation,
  ): Promise<void> {
    const tokens = reservation.getTokens(result.events);
    const isClientGone = this.call.endReason === 'client_gone';
    if (result.proof === 'truncated' || isClientGone) {
      await reservation.settle(result.events);
      finishStream(this.call, result);
      return;
    }
    try {
      await this.store(chain, result, tokens);
    } catch (error) {
      await reservation.settle(result.events);
      const message = error instanceof Error ? error.message : String(error);
      const isLate = this.call.endReason === 'timeout';
      const kind = isLate ? 'target_timeout' : 'target_failed';
      const failure = MarigoldpostError.create(kind, message);
      failCall(this.call, failure, result.events);
      return;
    }
    finishStream(this.call, result);
  }

  private async store(
    chain: TurnChain,
    {data, target}: ServedStream,
    tokens: number,
  ): Promise<void> {
    const {call, services, program, input} = this;
    const startMs = services.clock.nowMs();
    const turn = {
      id: this.turn,
      previous: call.attributes.previousTurn,
      program,
      tenant: call.tenant?.name,
      home: this.getHomeDataCentre(chain),
      input,
      output: data,
      tokens,
      // It counts from the end of the response, which the client may read until
      // the time of the call is over.
      retentionMs: (call.route.retentionMs ?? 0) + Math.max(0, call.leftMs),
      target,
      prompt: call.attributes.prompt,
    };
    const wait = {
      maxWaitMs: call.leftMs,
      signal: this.createStoreSignal(),
      copySignal: call.signal,
    };
    const chainDisks = chain.at(-1)?.disks ?? [];
    const stored = await services.turns.record(turn, chainDisks, wait);
    const {disks, isInObject} = stored;
    const elapsedMs = services.clock.nowMs() - startMs;
    services.metrics.recordValue('turn_store_ms', {}, elapsedMs);
    call.logger.log('turn_stored', {
      program,
      tokens,
      disks,
      isInObject,
      elapsedMs: Math.round(elapsedMs),
    });
    const place = isInObject ? 'object' : 'disks';
    services.metrics.addToCounter('turns_stored_total', {place});
  }

  /**
   * Creates the signal that ends the wait until the turn is stored. A stop of
   * the entry VM does not: its calls have a short time to end.
   */
  private createStoreSignal(): AbortSignal {
    const {call} = this;
    const controller = new AbortController();
    const onAbort = () => {
      if (call.endReason !== 'stopping') controller.abort();
    };
    call.signal.addEventListener('abort', onAbort, {once: true});
    if (call.signal.aborted) onAbort();
    return controller.signal;
  }

  private getHomeDataCentre(chain: TurnChain) {
    return chain[0]?.home ?? this.services.dataCentre;
  }
}
