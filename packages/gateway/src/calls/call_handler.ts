/** Validates, routes and serves client requests. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  MarigoldpostError,
  type Random,
  resetSocket,
  type ServiceId,
  toMarigoldpostError,
} from '@marigoldpost/common';
import type {CallAttributes, Route, SiteConfig} from '@marigoldpost/sites';
import {type CallAccess, checkAccess} from '../access/call_access.js';
import {createErrorResponse} from '../responses/error_response.js';
import {logRejection, writeResponse} from '../responses/write_response.js';
import {TenantLabels} from '../access/tenant_labels.js';
import {readBody} from './body_reader.js';
import type {CallServices} from './call_services.js';
import type {ConnectionOrder} from './connection_order.js';
import {IncomingCall} from './incoming_call.js';
import {QuotaPermit} from './quota_permit.js';
import {servePlainCall} from './plain_call.js';
import {RequestAllowance} from './request_allowance.js';
import {failCall, finishStream} from './end_call.js';
import {relayStreamCall, type ServedStream} from './stream_call.js';
import type {CallBody} from './target_attempts.js';
import {TokenReservation} from './token_reservation.js';
import {TurnCall} from './turn_call.js';

/** A daemon receives its first configuration shortly after it starts. */
const noConfigRetryAfterMs = 300;
/** Another daemon can serve the call at once. */
const drainingRetryAfterMs = 50;

/** Handles all client requests of one daemon. */
export class CallHandler {
  private requests = 0;
  private readonly calls = new Set<IncomingCall>();
  private readonly tenantLabels = TenantLabels.create();
  /** Until when calls may last; `undefined` unless the daemon drains. */
  private drainEndMs: number | undefined;
  private isStopping = false;

  private constructor(private readonly services: CallServices) {}

  /**
   * Creates a handler without calls.
   * @param services - Components that all calls share.
   */
  static create(services: CallServices): CallHandler {
    return new CallHandler(services);
  }

  /** Number of calls in flight. */
  get inFlight(): number {
    return this.requests;
  }

  /**
   * Makes each connection close after its current response, and rejects calls
   * that may not end in time.
   * @param endMs - Until when calls may last, on the daemon's clock.
   */
  drain(endMs: number): void {
    this.drainEndMs = endMs;
  }

  /**
   * Whether the client's next connection may go to a daemon that can store turns
   * while this one cannot.
   */
  private get isBetterServedElsewhere(): boolean {
    const {turns} = this.services;
    return !turns.isReachable || turns.isIsolated;
  }

  private get isDraining(): boolean {
    return this.drainEndMs !== undefined;
  }

  /** Aborts all calls and rejects new ones. Each ends shortly after. */
  stopCalls(): void {
    this.isStopping = true;
    for (const call of this.calls) call.stop();
  }

  /** Ends the calls that have not ended since `stopCalls`. */
  failStoppedCalls(): void {
    const message = 'the entry VM stopped before the call ended';
    const error = MarigoldpostError.create('target_failed', message);
    for (const call of this.calls) failCall(call, error);
  }

  /**
   * Handles one request until its response ends; never throws.
   * @param request - Request whose head has been read.
   * @param response - Response to the request; nothing has been sent.
   * @param order - The request among the others of its connection.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    order: ConnectionOrder,
  ): Promise<void> {
    this.requests += 1;
    try {
      await this.processRequest(request, response, order);
    } catch (error) {
      // The call may have run, so that its connection ends without a status.
      const {kind, message} = toMarigoldpostError(error);
      const fields = {task: 'call', kind, message};
      this.services.logger.log('background_failed', fields);
      resetSocket(request.socket);
    } finally {
      this.requests -= 1;
    }
  }

  private async processRequest(
    request: IncomingMessage,
    response: ServerResponse,
    order: ConnectionOrder,
  ): Promise<void> {
    const {clock, codec, site} = this.services;
    const arrivedAtMs = clock.nowMs();
    const attributes = codec.decodeCall(request.headers);
    const config = site.currentConfig;
    const requestError = this.isStopping
      ? MarigoldpostError.create('draining', 'the entry VM is stopping')
      : findRequestError(request, attributes, config);
    const route = site.getRoute(request.headers.host ?? '', request.url ?? '');
    if (
      requestError !== undefined ||
      config === undefined ||
      route === undefined
    ) {
      const error = requestError ?? createNoRouteError(request);
      await this.rejectUnserved(response, attributes, error, order);
      return;
    }
    const access = this.findAccess(route, attributes);
    if (access instanceof MarigoldpostError) {
      this.logUnknownKey(route, attributes, config);
      await this.rejectUnserved(response, attributes, access, order);
      return;
    }
    const {requestId} = attributes;
    const call = IncomingCall.create({
      request,
      response,
      attributes,
      route,
      config,
      access,
      clock,
      arrivedAtMs,
      logger: this.services.logger.withContext({requestId}),
      order,
      isClosing: () =>
        order.isLastRead() && (this.isDraining || this.isBetterServedElsewhere),
    });
    this.calls.add(call);
    await this.serveOrReject(call);
    this.calls.delete(call);
    this.recordEnd(call);
  }

  /** Finds the tenant of a call, or the error for a call that has none. */
  private findAccess(
    route: Route,
    attributes: CallAttributes,
  ): CallAccess | MarigoldpostError {
    try {
      return checkAccess(this.services.site.tenants, route, attributes);
    } catch (error) {
      return toMarigoldpostError(error);
    }
  }

  private logUnknownKey(
    {name}: Route,
    {requestId, apiKey}: CallAttributes,
    {version}: SiteConfig,
  ): void {
    const {logger, metrics} = this.services;
    const hasKey = apiKey !== undefined;
    const fields = {route: name, hasKey, configVersion: version};
    logger.withContext({requestId}).log('key_refused', fields);
    metrics.addToCounter('key_refusals_total', {hasKey: String(hasKey)});
  }

  private async serveOrReject(call: IncomingCall): Promise<void> {
    const allowance = RequestAllowance.create(this.services.requestMemory);
    const quota = QuotaPermit.create(call, this.services);
    try {
      await this.serve(call, allowance, quota);
    } catch (error) {
      failCall(call, toMarigoldpostError(error));
    } finally {
      allowance.release();
      quota.release();
      call.stopTimer();
    }
  }

  private async serve(
    call: IncomingCall,
    allowance: RequestAllowance,
    quota: QuotaPermit,
  ): Promise<void> {
    const {config, route, request, signal} = call;
    const maxBytes = config.limits.maxBodyBytes;
    const bytes = await readBody(request, {maxBytes, signal, allowance});
    await call.waitForEarlierResponses();
    this.rejectIfTooLate(call);
    await quota.take();
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
    await this.serveStream(call, service, body);
  }

  /** Throws `draining` if the daemon may stop before the call ends. */
  private rejectIfTooLate({leftMs}: IncomingCall): void {
    const {drainEndMs, services} = this;
    if (drainEndMs === undefined) return;
    if (services.clock.nowMs() + leftMs <= drainEndMs) return;
    const message = 'the entry VM may stop before the call ends';
    throw MarigoldpostError.create('draining', message, {
      retryAfterMs: drainingRetryAfterMs,
    });
  }

  private async serveStream(
    call: IncomingCall,
    service: ServiceId,
    body: CallBody,
  ): Promise<void> {
    const {services} = this;
    // No record tells where a program started whose turns are not stored.
    const reservation = await TokenReservation.create(
      call,
      services,
      service,
      undefined,
    );
    let result: ServedStream | undefined;
    try {
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
    if (result === undefined) return;
    await reservation.settle(result.events);
    finishStream(call, result);
  }

  /** Rejects a request that no route or no tenant of the site allows. */
  private async rejectUnserved(
    response: ServerResponse,
    {requestId}: CallAttributes,
    error: MarigoldpostError,
    order: ConnectionOrder,
  ): Promise<void> {
    // Requests behind it in the same packet are read first.
    if (this.isDraining) await Promise.resolve();
    const isClosing = this.isDraining && order.isLastRead();
    const errorResponse = createErrorResponse(error);
    writeResponse(response, errorResponse, isClosing);
    const logger = this.services.logger.withContext({requestId});
    const {status} = errorResponse;
    logRejection(logger, {route: '', status, error, elapsedMs: 0});
  }

  private recordEnd(call: IncomingCall): void {
    const {kind, name} = call.route;
    const durationMs = call.elapsedMs;
    const {metrics} = this.services;
    const status = String(call.status);
    metrics.addToCounter('requests_total', {kind, status});
    metrics.recordValue('request_duration_ms', {kind}, durationMs);
    if (call.tenant !== undefined) {
      const tenant = this.tenantLabels.getLabel(call.tenant.name);
      metrics.addToCounter('tenant_requests_total', {tenant, status});
    }
    if (call.endReason === 'client_gone') {
      const elapsedMs = Math.round(durationMs);
      call.logger.log('client_gone', {route: name, elapsedMs});
      return;
    }
    call.logger.log('call_ended', {
      route: name,
      status: call.status,
      durationMs: Math.round(durationMs),
      ...call.servedResponse,
      clientEnd: call.clientEnd,
      endReason: call.endReason,
    });
  }
}

function findRequestError(
  request: IncomingMessage,
  {requestId}: CallAttributes,
  config: SiteConfig | undefined,
): MarigoldpostError | undefined {
  if (config === undefined) {
    return MarigoldpostError.create(
      'platform_unavailable',
      'the daemon has not received a configuration yet',
      {retryAfterMs: noConfigRetryAfterMs},
    );
  }
  const {maxHeaderBytes} = config.limits;
  if (getHeaderBytes(request) > maxHeaderBytes) {
    const message = `the request headers exceed ${maxHeaderBytes} bytes`;
    return MarigoldpostError.create('header_too_large', message);
  }
  if (requestId !== undefined) return undefined;
  return MarigoldpostError.create(
    'invalid_request',
    'the request has no request id',
  );
}

/** Bytes of `: ` and CRLF in each header line. */
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

function createNoRouteError({
  headers,
  url,
}: IncomingMessage): MarigoldpostError {
  const message = `no route matches "${headers.host ?? ''}${url ?? ''}"`;
  return MarigoldpostError.create('unknown_path', message);
}

function chooseService({services}: Route, random: Random): ServiceId {
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let remainingWeight = random.next() * total;
  for (const {service, weight} of services) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return (services.at(-1) ?? services[0])?.service as ServiceId;
}
