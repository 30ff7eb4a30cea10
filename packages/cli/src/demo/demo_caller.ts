/**
 * Caller of the demo. It reaches entry VMs through a load balancer and retries
 * failed requests.
 */
import {
  type Clock,
  isErrorKind,
  type Outcome,
  type Random,
} from '@marigoldpost/common';
import {request} from 'undici';
import * as z from 'zod';

const maxAttempts = 40;
const retryDelayMs = 250;
const minErrorStatus = 300;

const errorSchema = z.object({
  error: z.object({
    kind: z.string(),
    outcome: z.enum(['not_run', 'unknown', 'ran']),
    retry_after_ms: z.number().nullish(),
  }),
});
const chatSchema = z.object({
  choices: z.array(z.object({message: z.object({content: z.string()})})).min(1),
});
const programSchema = z.object({program: z.string()});
const historySchema = z.object({
  messages: z.array(z.object({role: z.string(), content: z.string()})),
});

/** Message of a program's history. */
export interface DemoMessage {
  readonly role: string;
  readonly content: string;
}

/** Response to a chat call, and the program that the call belongs to. */
export interface DemoChatResponse {
  readonly program: string;
  readonly text: string;
}

/** Error kind and outcome of a failed request. */
export interface DemoRequestFailure {
  readonly kind: string;
  readonly outcome: Outcome;
}

/** Request that failed permanently or used up its attempts. */
export class DemoRequestError extends Error {
  constructor(readonly failure: DemoRequestFailure) {
    super(`${failure.kind} (${failure.outcome})`);
  }
}

/** Calling team, load balancer, clock and random source of a caller. */
export interface DemoCallerOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Key of the calling team. */
  readonly key: string;
  /** Chooses the entry VM for the next attempt, as the load balancer does. */
  readonly chooseAddress: () => string;
}

interface DemoResponse {
  readonly status: number;
  readonly body: unknown;
  readonly program: string;
}

/**
 * Sends calls of one team. Retries after a failed connection, and after a 429
 * or 5xx response unless the call ran or its error kind is `outcome_unknown`.
 */
export class DemoCaller {
  private constructor(private readonly options: DemoCallerOptions) {}

  /**
   * Creates a caller; it connects with its first call.
   * @param options - Team, load balancer, clock and random source.
   */
  static create(options: DemoCallerOptions): DemoCaller {
    return new DemoCaller(options);
  }

  /**
   * Opens the program of a sub-agent and gets its id.
   * @param parent - Program whose budget the new program shares.
   */
  async openChildProgram(parent: string): Promise<string> {
    const {body} = await this.send('POST', '/v1/programs', {parent});
    return programSchema.parse(body).program;
  }

  /**
   * Runs one turn of a program.
   * @param program - Id of the program; `undefined` opens a new one.
   * @param model - Model to call.
   * @param message - Message that the turn adds.
   * @param maxTokens - Maximum number of tokens to generate.
   */
  async chat(
    program: string | undefined,
    model: string,
    message: DemoMessage,
    maxTokens: number,
  ): Promise<DemoChatResponse> {
    const body = {model, messages: [message], max_tokens: maxTokens};
    const headers = this.createHeaders(program);
    const response = await this.send(
      'POST',
      '/v1/chat/completions',
      body,
      headers,
    );
    const [choice] = chatSchema.parse(response.body).choices;
    return {program: response.program, text: choice?.message.content ?? ''};
  }

  /**
   * Makes a booking; throws `DemoRequestError` when the request fails.
   * @param program - Program that makes the booking.
   * @param path - Path of the plain service at the entry VM.
   * @param key - Idempotency key.
   */
  async book(program: string, path: string, key: string): Promise<void> {
    const headers = {...this.createHeaders(program), 'idempotency-key': key};
    await this.send('POST', path, {booking: key}, headers);
  }

  /**
   * Gets the messages of a program, oldest first.
   * @param program - Id of the program.
   */
  async getHistory(program: string): Promise<readonly DemoMessage[]> {
    const path = `/v1/programs/${encodeURIComponent(program)}/history`;
    const {body} = await this.send('GET', path);
    return historySchema.parse(body).messages;
  }

  /**
   * Ends a program, so that its cache is released.
   * @param program - Id of the program.
   */
  async end(program: string): Promise<void> {
    await this.send('DELETE', `/v1/programs/${encodeURIComponent(program)}`);
  }

  private createHeaders(program: string | undefined): Record<string, string> {
    const key = this.options.random.nextToken(20);
    return {
      'idempotency-key': key,
      ...(program === undefined ? {} : {'marigoldpost-program': program}),
    };
  }

  /**
   * Sends a request until it succeeds, fails permanently or has used up its
   * attempts.
   */
  private async send(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: object,
    headers: Record<string, string> = {},
  ): Promise<DemoResponse> {
    let failure: DemoRequestFailure = {kind: 'unreachable', outcome: 'not_run'};
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const result = await this.sendOnce(method, path, body, headers);
      if (result !== undefined && result.status < minErrorStatus) return result;
      if (result !== undefined) failure = parseFailure(result);
      if (result !== undefined && !isRetryable(result, failure)) break;
      await this.options.clock.sleep(retryDelayMs);
    }
    throw new DemoRequestError(failure);
  }

  /** Sends a request once; `undefined` when the connection failed. */
  private async sendOnce(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: object | undefined,
    headers: Record<string, string>,
  ): Promise<DemoResponse | undefined> {
    const {key, chooseAddress} = this.options;
    try {
      const response = await request(`${chooseAddress()}${path}`, {
        method,
        headers: {authorization: `Bearer ${key}`, ...headers},
        body: body && JSON.stringify(body),
      });
      const program = response.headers['marigoldpost-program'];
      return {
        status: response.statusCode,
        body: await response.body.json(),
        program: typeof program === 'string' ? program : '',
      };
    } catch {
      return undefined;
    }
  }
}

function parseFailure({body}: DemoResponse): DemoRequestFailure {
  const {kind, outcome} = errorSchema.parse(body).error;
  return {kind: isErrorKind(kind) ? kind : 'internal', outcome};
}

function isRetryable(
  {status}: DemoResponse,
  {kind, outcome}: DemoRequestFailure,
): boolean {
  if (kind === 'outcome_unknown') return false;
  const isServerSide = status === 429 || status >= 500;
  return isServerSide && outcome !== 'ran';
}
