/** Serves turns of programs: streaming calls whose history is stored. */
import {
  isErrorOfKind,
  MarigoldpostError,
  type ProgramId,
  type ServiceId,
  toId,
} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import {buildPrompt, type TurnChain} from '@marigoldpost/turns';
import type {CallServices} from './call_services.js';
import type {IncomingCall} from './incoming_call.js';
import {
  abortStream,
  finishStream,
  relayStreamCall,
  type ServedStream,
} from './stream_call.js';

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
    // A turn without a program starts a program with the turn's id.
    const {program} = call.attributes;
    this.program = program ?? toId<ProgramId>(call.requestId);
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
    await this.reserve(chain);
    const prompt = buildPrompt(chain, this.input);
    let result: ServedStream | undefined;
    try {
      const previousPrompt = chain.at(-1);
      const body = {bytes: prompt, isPresent: true, previousPrompt};
      const {call, services, service} = this;
      result = await relayStreamCall(call, services, service, body);
    } catch (error) {
      this.settleTokens(0);
      throw error;
    }
    if (result === undefined) this.settleTokens(0);
    else await this.finish(chain, result);
  }

  private async readChain(): Promise<TurnChain> {
    const {previousTurn} = this.call.attributes;
    if (previousTurn === undefined) return [];
    const startMs = this.services.clock.nowMs();
    const chain = await this.services.turns.readChain(previousTurn);
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

  private async reserve(chain: TurnChain): Promise<void> {
    const {budgetTokens, maxOutputTokens} = this.call.attributes;
    if (budgetTokens === undefined || maxOutputTokens === undefined) return;
    const {clock, metrics, turns} = this.services;
    const {program} = this;
    const startMs = clock.nowMs();
    try {
      await turns.reserve({
        program,
        attempt: this.turn,
        tokens: maxOutputTokens,
        budgetTokens,
        home: this.getHomeDataCentre(chain),
      });
    } catch (error) {
      if (isErrorOfKind(error, 'tokens_spent')) {
        const wantedTokens = maxOutputTokens;
        const fields = {program, budgetTokens, wantedTokens};
        this.call.logger.log('budget_refused', fields);
      }
      throw error;
    }
    metrics.recordValue('reservation_ms', {}, clock.nowMs() - startMs);
  }

  private async finish(chain: TurnChain, result: ServedStream): Promise<void> {
    const tokens = result.events * this.getTokensPerEvent();
    if (!result.isComplete || this.call.signal.aborted) {
      this.settleTokens(tokens);
      finishStream(this.call, {...result, isComplete: false});
      return;
    }
    try {
      await this.store(chain, result, tokens);
    } catch (error) {
      this.settleTokens(tokens);
      const message = error instanceof Error ? error.message : String(error);
      abortStream(this.call, {...result, message});
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
      home: this.getHomeDataCentre(chain),
      input,
      output: data,
      tokens,
      retentionMs: call.route.retentionMs ?? 0,
      target,
      prompt: call.attributes.prompt,
    };
    await services.turns.record(turn, chain.at(-1)?.disks ?? []);
    const elapsedMs = services.clock.nowMs() - startMs;
    services.metrics.recordValue('turn_store_ms', {}, elapsedMs);
    call.logger.log('turn_stored', {
      program,
      tokens,
      elapsedMs: Math.round(elapsedMs),
    });
  }

  private settleTokens(tokens: number): void {
    if (this.call.attributes.budgetTokens === undefined) return;
    this.services.turns.settle(this.program, this.turn, tokens);
  }

  private getHomeDataCentre(chain: TurnChain) {
    return chain[0]?.home ?? this.services.dataCentre;
  }

  private getTokensPerEvent(): number {
    const service = this.call.config.services.get(this.service);
    const tokens = service?.engine?.tokensPerEvent;
    if (tokens !== undefined) return tokens;
    throw MarigoldpostError.create(
      'internal',
      `service "${this.service}" serves turns but has no engine configured`,
    );
  }
}
