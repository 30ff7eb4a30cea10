/** A caller behind the platform's balancer, which sends again what failed. */
import {
  type Clock,
  isErrorKind,
  type Outcome,
  type Random,
} from '@marigoldpost/common';
import {request} from 'undici';
import * as z from 'zod';

const maxTries = 40;
const retryMs = 250;
const firstErrorStatus = 300;

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

/** One message as a caller sees it. */
export interface DemoMessage {
  readonly role: string;
  readonly content: string;
}

/** Answer of one chat call. */
export interface DemoChatAnswer {
  readonly program: string;
  readonly text: string;
}

/** How one request ended for its caller. */
export interface DemoRefusal {
  readonly kind: string;
  readonly outcome: Outcome;
}

/** A request that its caller has given up on. */
export class DemoRefusalError extends Error {
  constructor(readonly refusal: DemoRefusal) {
    super(`${refusal.kind} (${refusal.outcome})`);
  }
}

/** Options of a caller. */
export interface DemoCallerOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Key of the calling team. */
  readonly key: string;
  /** Gets the address of the entry VM that the balancer chooses. */
  readonly chooseAddress: () => string;
}

interface Sent {
  readonly status: number;
  readonly body: unknown;
  readonly program: string;
}

/** Sends calls of one team. */
export class DemoCaller {
  private constructor(private readonly options: DemoCallerOptions) {}

  /**
   * Creates a caller.
   * @param options - Team and balancer.
   */
  static create(options: DemoCallerOptions): DemoCaller {
    return new DemoCaller(options);
  }

  /**
   * Opens a sub-agent's program.
   * @param parent - Program that the budget is shared with.
   */
  async addChild(parent: string): Promise<string> {
    const {body} = await this.send('POST', '/v1/programs', {parent});
    return programSchema.parse(body).program;
  }

  /**
   * Makes one turn of a program.
   * @param program - The program; nothing opens one.
   * @param model - The model.
   * @param message - What the caller says.
   * @param maxTokens - Longest answer.
   */
  async chat(
    program: string | undefined,
    model: string,
    message: DemoMessage,
    maxTokens: number,
  ): Promise<DemoChatAnswer> {
    const body = {model, messages: [message], max_tokens: maxTokens};
    const headers = this.createHeaders(program);
    const sent = await this.send('POST', '/v1/chat/completions', body, headers);
    const [choice] = chatSchema.parse(sent.body).choices;
    return {program: sent.program, text: choice?.message.content ?? ''};
  }

  /**
   * Makes a booking; throws `DemoRefusalError`.
   * @param program - Program that books.
   * @param path - Path at the system.
   * @param key - Idempotency key.
   */
  async book(program: string, path: string, key: string): Promise<void> {
    const headers = {...this.createHeaders(program), 'idempotency-key': key};
    await this.send('POST', path, {booking: key}, headers);
  }

  /**
   * Gets a program's history.
   * @param program - The program.
   */
  async getHistory(program: string): Promise<readonly DemoMessage[]> {
    const path = `/v1/programs/${encodeURIComponent(program)}/history`;
    const {body} = await this.send('GET', path);
    return historySchema.parse(body).messages;
  }

  /**
   * Ends a program.
   * @param program - The program.
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

  /** Sends a request until it has an answer that another try cannot change. */
  private async send(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: object,
    headers: Record<string, string> = {},
  ): Promise<Sent> {
    let refusal: DemoRefusal = {kind: 'unreachable', outcome: 'not_run'};
    for (let tries = 0; tries < maxTries; tries++) {
      const sent = await this.trySend(method, path, body, headers);
      if (sent !== undefined && sent.status < firstErrorStatus) return sent;
      if (sent !== undefined) refusal = toRefusal(sent);
      if (sent !== undefined && !isWorthRetrying(sent, refusal)) break;
      await this.options.clock.sleep(retryMs);
    }
    throw new DemoRefusalError(refusal);
  }

  /** Sends a request once; nothing when the connection broke. */
  private async trySend(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: object | undefined,
    headers: Record<string, string>,
  ): Promise<Sent | undefined> {
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

function toRefusal({body}: Sent): DemoRefusal {
  const {kind, outcome} = errorSchema.parse(body).error;
  return {kind: isErrorKind(kind) ? kind : 'internal', outcome};
}

function isWorthRetrying(
  {status}: Sent,
  {kind, outcome}: DemoRefusal,
): boolean {
  if (kind === 'outcome_unknown') return false;
  const isServerSide = status === 429 || status >= 500;
  return isServerSide && outcome !== 'ran';
}
