/** Logs the attempts of one call. */
import type {ServiceId} from '@marigoldpost/common';
import type {TargetEntry} from '@marigoldpost/sites';
import type {BodyFields} from '../responses/body_end.js';
import type {CallServices} from './call_services.js';
import type {IncomingCall} from './incoming_call.js';
import type {AttemptRelay} from './target_sender.js';

/** How a target was chosen for an attempt. */
export interface PlacementFields {
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  /** Requests of this daemon at the target. */
  readonly load: number;
  readonly waitedMs: number;
}

/** How an attempt has failed. */
export interface FailureFields extends Partial<BodyFields> {
  /** `direct`, or the entry VM that relayed the attempt. */
  readonly via: string;
  readonly result: string;
  readonly isSent: boolean;
  readonly reason: string;
}

/** Log of the attempts of one call. */
export class AttemptLog {
  private constructor(
    private readonly call: IncomingCall,
    private readonly services: CallServices,
    private readonly service: ServiceId,
  ) {}

  /**
   * Creates a log.
   * @param call - Call whose attempts are logged.
   * @param services - Components that all calls share.
   * @param service - Service that was selected from the route.
   */
  static create(
    call: IncomingCall,
    services: CallServices,
    service: ServiceId,
  ): AttemptLog {
    return new AttemptLog(call, services, service);
  }

  /**
   * Logs that a target was chosen.
   * @param target - Target that was chosen.
   * @param fields - How it was chosen.
   */
  logPlacement(
    target: TargetEntry,
    {attempt, load, waitedMs}: PlacementFields,
  ): void {
    const {call, services, service} = this;
    services.metrics.recordValue('target_wait_ms', {service}, waitedMs);
    call.logger.log('call_placed', {
      route: call.route.name,
      service,
      target: target.id,
      attempt,
      waitedMs: Math.round(waitedMs),
      load,
      limitPerS: this.getLimitPerS(target),
      leftMs: Math.round(call.leftMs),
      configVersion: call.config.version,
    });
  }

  /**
   * Logs that another entry VM relays an attempt.
   * @param target - Target of the attempt.
   * @param relay - The entry VM, and why it relays.
   */
  logRelay({id}: TargetEntry, relay: AttemptRelay): void {
    const {logger, elapsedMs} = this.call;
    logger.log('call_relayed', {
      target: id,
      ...relay,
      elapsedMs: Math.round(elapsedMs),
    });
  }

  /**
   * Logs that an attempt has failed.
   * @param target - Target of the attempt.
   * @param fields - How it has failed.
   */
  logFailure({id}: TargetEntry, fields: FailureFields): void {
    const {logger, elapsedMs} = this.call;
    logger.log('attempt_failed', {
      target: id,
      ...fields,
      elapsedMs: Math.round(elapsedMs),
    });
  }

  private getLimitPerS({id, startedAtMs}: TargetEntry): number | undefined {
    const {targetLimits} = this.services;
    return targetLimits.get({target: id, startedAtMs})?.limitPerS;
  }
}
