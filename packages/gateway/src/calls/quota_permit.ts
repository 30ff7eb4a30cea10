/** A call's place in the quota of its tenant. */
import {MarigoldpostError, waitUnlessAborted} from '@marigoldpost/common';
import type {Tenant} from '@marigoldpost/sites';
import {createQuotaError} from '../access/call_access.js';
import type {QuotaDecision} from '../access/quota_source.js';
import type {CallServices} from './call_services.js';
import type {IncomingCall} from './incoming_call.js';

/** Is taken before a call runs, and returned if it surely has not. */
export class QuotaPermit {
  private isTaken = false;

  private constructor(
    private readonly call: IncomingCall,
    private readonly services: CallServices,
  ) {}

  /**
   * Creates a permit that has not been taken.
   * @param call - Call of a client.
   * @param services - Components that all calls share.
   */
  static create(call: IncomingCall, services: CallServices): QuotaPermit {
    return new QuotaPermit(call, services);
  }

  /** Takes the permit; throws the error for the client if it is not granted. */
  async take(): Promise<void> {
    const {call, services} = this;
    const {quotas, metrics, clock} = services;
    const {tenant, config} = call;
    if (tenant?.quota === undefined || quotas === undefined) return;
    const startMs = clock.nowMs();
    const decision = await this.waitForDecision(
      quotas.take(tenant, config.version),
      tenant,
    );
    this.isTaken = decision.result === 'granted';
    metrics.recordValue('quota_wait_ms', {}, clock.nowMs() - startMs);
    if (this.isTaken) return;
    this.logRefusal(tenant, decision);
    throw createQuotaError(tenant, decision);
  }

  /**
   * Waits for the decision, at most until the call ends: its client has left, or
   * its deadline has passed. A permit that is granted later is returned.
   */
  private async waitForDecision(
    asked: Promise<QuotaDecision>,
    tenant: Tenant,
  ): Promise<QuotaDecision> {
    const {call, services} = this;
    try {
      return await waitUnlessAborted(asked, call.signal, () =>
        createEndError(call),
      );
    } catch (error) {
      void asked.then(({result}) => {
        if (result === 'granted') services.quotas?.giveBack(tenant);
      });
      throw error;
    }
  }

  /** Returns the permit of a call that no target may have run. */
  release(): void {
    const {tenant, mayHaveRun} = this.call;
    if (!this.isTaken || tenant === undefined || mayHaveRun) return;
    this.isTaken = false;
    this.services.quotas?.giveBack(tenant);
  }

  private logRefusal(
    {name, quota}: Tenant,
    {result, holder, counted, countAgeMs, retryAfterMs}: QuotaDecision,
  ): void {
    const {call, services} = this;
    call.logger.log('quota_refused', {
      tenant: name,
      result,
      ratePerS: quota?.ratePerS ?? 0,
      burst: quota?.burst ?? 0,
      holder,
      counted,
      countAgeMs: Math.round(countAgeMs),
      retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : undefined,
      configVersion: call.config.version,
    });
    services.metrics.addToCounter('quota_refusals_total', {result});
  }
}

function createEndError({endReason}: IncomingCall): MarigoldpostError {
  const kind = endReason === 'stopping' ? 'draining' : 'deadline_exceeded';
  const message = 'the call ended before its quota was decided';
  return MarigoldpostError.create(kind, message);
}
