/** Takes a client's request from its first byte to its answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  isErrorOfKind,
  MarigoldpostError,
  type Random,
  type ServiceId,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {CallAttributes, Route, SiteConfig} from '@marigoldpost/sites';
import {toRefusal} from '../answers/refusal.js';
import {logTurnedAway, writeAnswer} from '../answers/write_answer.js';
import {readBody} from './body_reader.js';
import type {CallServices} from './call_services.js';
import {IncomingCall} from './incoming_call.js';
import {servePlainCall} from './plain_call.js';
import {finishStream, relayStreamCall} from './stream_call.js';
import {TurnCall} from './turn_call.js';

/** A daemon without a configuration has one soon after its start. */
const noConfigRetryMs = 300;

/** Handler of all requests of one daemon. */
export class CallHandler {
  private calls = 0;
  private isDraining = false;

  private constructor(private readonly services: CallServices) {}

  /**
   * Creates a handler.
   * @param services - Parts that calls share.
   */
  static create(services: CallServices): CallHandler {
    return new CallHandler(services);
  }

  /** Calls under way. */
  get inFlight(): number {
    return this.calls;
  }

  /** Closes each connection after the answer under way on it. */
  drain(): void {
    this.isDraining = true;
  }

  /**
   * Handles one request; never throws.
   * @param request - The request.
   * @param response - Its answer.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.calls += 1;
    try {
      await this.admit(request, response);
    } finally {
      this.calls -= 1;
    }
  }

  private async admit(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {clock, codec, site} = this.services;
    const arrivedAtMs = clock.nowMs();
    const attributes = codec.decodeCall(request.headers);
    const config = site.currentConfig;
    const problem = findProblem(request, attributes, config);
    const route = site.getRoute(request.headers.host ?? '', request.url ?? '');
    if (problem !== undefined || config === undefined || route === undefined) {
      const error = problem ?? createNoRoute(request);
      this.refuseEarly(response, attributes, error);
      return;
    }
    const {requestId} = attributes;
    const call = IncomingCall.create({
      request,
      response,
      attributes,
      route,
      config,
      clock,
      arrivedAtMs,
      logger: this.services.logger.withContext({requestId}),
      // Other daemons may reach an archive, and new connections go to them.
      isClosing: () => this.isDraining || !this.services.turns.isReachable,
    });
    await this.serveOrRefuse(call);
    this.noteEnd(call);
  }

  private async serveOrRefuse(call: IncomingCall): Promise<void> {
    try {
      await this.serve(call);
    } catch (error) {
      const known = toMarigoldpostError(error);
      if (call.endReason !== 'client_gone') this.refuse(call, known);
    }
  }

  private async serve(call: IncomingCall): Promise<void> {
    const {config, route, request} = call;
    const maxBytes = config.limits.maxBodyBytes;
    const bytes = await readBody(request, {maxBytes, signal: call.signal});
    const service = chooseService(route, this.services.random);
    if (route.retentionMs !== undefined) {
      await TurnCall.serve(call, this.services, service, bytes);
      return;
    }
    const isPresent = hasBody(request);
    const body = {bytes, isPresent};
    if (route.kind !== 'streaming') {
      await servePlainCall(call, this.services, service, body);
      return;
    }
    const result = await relayStreamCall(call, this.services, service, body);
    if (result !== undefined) finishStream(call, result);
  }

  private refuse(call: IncomingCall, error: MarigoldpostError): void {
    if (call.isAnswered) {
      call.logger.log('answer_broken_off', {
        route: call.route.name,
        reason: error.message,
        events: 0,
        durationMs: Math.round(call.elapsedMs),
      });
      call.breakOff();
      return;
    }
    call.refuse(error);
    const {route, status, logger} = call;
    const elapsedMs = Math.round(call.elapsedMs);
    logTurnedAway(logger, {route: route.name, status, error, elapsedMs});
    // The rest of the body would have to be read before the next request.
    if (isErrorOfKind(error, 'too_large', 'body_timeout')) call.closeAfter();
  }

  private refuseEarly(
    response: ServerResponse,
    {requestId}: CallAttributes,
    error: MarigoldpostError,
  ): void {
    const answer = toRefusal(error);
    writeAnswer(response, answer, this.isDraining);
    const logger = this.services.logger.withContext({requestId});
    const {status} = answer;
    logTurnedAway(logger, {route: '', status, error, elapsedMs: 0});
  }

  private noteEnd(call: IncomingCall): void {
    const {kind, name} = call.route;
    const durationMs = call.elapsedMs;
    const {metrics} = this.services;
    const status = String(call.status);
    metrics.addToCounter('requests_total', {kind, status});
    metrics.recordValue('request_duration_ms', {kind}, durationMs);
    if (call.endReason === 'client_gone') {
      const elapsedMs = Math.round(durationMs);
      call.logger.log('client_gone', {route: name, elapsedMs});
      return;
    }
    call.logger.log('call_ended', {
      route: name,
      status: call.status,
      durationMs: Math.round(durationMs),
    });
  }
}

function findProblem(
  request: IncomingMessage,
  {requestId}: CallAttributes,
  config: SiteConfig | undefined,
): MarigoldpostError | undefined {
  if (config === undefined) {
    return MarigoldpostError.create(
      'platform_unavailable',
      'no configuration has been read yet',
      {retryAfterMs: noConfigRetryMs},
    );
  }
  const {maxHeaderBytes} = config.limits;
  if (getHeaderBytes(request) > maxHeaderBytes) {
    const message = `headers above ${maxHeaderBytes} bytes`;
    return MarigoldpostError.create('header_too_large', message);
  }
  if (requestId !== undefined) return undefined;
  return MarigoldpostError.create(
    'invalid_request',
    'the request carries no id of its own',
  );
}

/** Bytes of `: ` and the line end of each header line. */
const headerLineBytes = 4;

function getHeaderBytes({rawHeaders}: IncomingMessage): number {
  let bytes = (rawHeaders.length / 2) * headerLineBytes;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}

function hasBody({headers}: IncomingMessage): boolean {
  const length = headers['content-length'];
  return length !== undefined || headers['transfer-encoding'] !== undefined;
}

function createNoRoute({headers, url}: IncomingMessage): MarigoldpostError {
  const message = `no route for ${headers.host ?? ''}${url ?? ''}`;
  return MarigoldpostError.create('unknown_path', message);
}

function chooseService({services}: Route, random: Random): ServiceId {
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let left = random.next() * total;
  for (const {service, weight} of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return (services.at(-1) ?? services[0])?.service as ServiceId;
}
