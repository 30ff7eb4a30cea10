/**
 * Tells the archives what this entry VM has in flight at the targets, and learns
 * what the others have. One archive of each data centre adds up the loads of the
 * targets there, so the messages grow with the entry VMs, not with their product
 * with the targets.
 */
import {create} from '@bufbuild/protobuf';
import {
  type Clock,
  type DataCentreId,
  getHashNumber,
  type TargetId,
} from '@marigoldpost/common';
import type {
  ServiceDispatcher,
  SharedLoads,
  TargetLoad,
} from '@marigoldpost/dispatch';
import {ExchangeLoadsSchema} from '@marigoldpost/peers';
import type {TargetEntry} from '@marigoldpost/sites';
import type {ArchiveClient, ArchivePool} from '@marigoldpost/turns';
import {fromLoadMessage, toLoadMessage} from '../utils/load_codec.js';

/**
 * Time between two reports. Requests last for some 100 ms: with 200 ms, 5 to 16 of
 * 100 programs fewer ended in time in the replay of a load near the slots.
 */
const intervalMs = 100;
/** Reports to a data centre at whose targets this entry VM has no requests. */
const remoteIntervalMs = 1000;
/** An entry VM without requests for this long reports nothing. */
const idleMs = 2000;

/** Archives, targets and loads of an exchange. */
export interface LoadExchangeOptions {
  readonly pool: ArchivePool;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly loads: SharedLoads;
  readonly getDispatchers: () => Iterable<ServiceDispatcher>;
  /** Finds a target that is listed; `undefined` if it is not. */
  readonly findTarget: (id: TargetId) => TargetEntry | undefined;
}

/** Reports to one data centre. */
interface DataCentreReports {
  lastSentMs: number;
  /** Whether the last report had requests, which the next one must replace. */
  hadRequests: boolean;
  /** Whether the last report has not been answered. */
  isSending: boolean;
}

/** Exchanges loads while this entry VM has requests. */
export class LoadExchange {
  private readonly reports = new Map<DataCentreId, DataCentreReports>();
  private busyAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: LoadExchangeOptions) {}

  /**
   * Creates an exchange; `run` starts it.
   * @param options - Archives, targets and loads.
   */
  static create(options: LoadExchangeOptions): LoadExchange {
    return new LoadExchange(options);
  }

  /**
   * Exchanges loads until aborted.
   * @param signal - Stops the exchange.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      // A data centre that does not reply must not delay the reports to others.
      const pause = clock.sleep(intervalMs, signal);
      await Promise.race([this.exchangeOnce(), pause]);
      await pause;
    }
  }

  /** Sends the reports that are due, and takes in the replies. */
  async exchangeOnce(): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    const dispatchers = [...this.options.getDispatchers()].filter(
      ({usesLearnedCosts}) => usesLearnedCosts,
    );
    const loads = dispatchers.flatMap((dispatcher) => dispatcher.takeLoads());
    if (loads.length > 0) this.busyAtMs = nowMs;
    if (nowMs - this.busyAtMs > idleMs) return;
    const byDataCentre = this.groupByDataCentre(loads);
    await Promise.all(
      [...byDataCentre].map(([dataCentre, own]) =>
        this.exchangeWith(dataCentre, own, nowMs),
      ),
    );
  }

  private groupByDataCentre(
    loads: readonly TargetLoad[],
  ): Map<DataCentreId, TargetLoad[]> {
    const {pool, findTarget} = this.options;
    const groups = new Map<DataCentreId, TargetLoad[]>(
      pool.getClients().map(({dataCentre}) => [dataCentre, []]),
    );
    for (const load of loads) {
      const dataCentre = findTarget(load.target)?.dataCentre;
      if (dataCentre !== undefined) groups.get(dataCentre)?.push(load);
    }
    return groups;
  }

  private async exchangeWith(
    dataCentre: DataCentreId,
    own: readonly TargetLoad[],
    nowMs: number,
  ): Promise<void> {
    const reports = this.getReports(dataCentre);
    if (reports.isSending) return;
    const isQuiet = own.length === 0 && !reports.hadRequests;
    const isRemote = dataCentre !== this.options.dataCentre;
    const isDue = nowMs - reports.lastSentMs >= remoteIntervalMs;
    if (isRemote && isQuiet && !isDue) return;
    reports.lastSentMs = nowMs;
    reports.hadRequests = own.some(({requests}) => requests > 0);
    reports.isSending = true;
    try {
      await this.send(dataCentre, own);
    } finally {
      reports.isSending = false;
    }
  }

  private async send(
    dataCentre: DataCentreId,
    own: readonly TargetLoad[],
  ): Promise<void> {
    const value = create(ExchangeLoadsSchema, {loads: own.map(toLoadMessage)});
    const {clock, loads} = this.options;
    for (const client of this.getArchives(dataCentre)) {
      const sentAtMs = clock.nowMs();
      const reply = await client.exchangeLoads(value);
      if (reply === undefined) continue;
      // The sums may have been read at any time since the request was sent.
      loads.record(dataCentre, reply.loads.map(fromLoadMessage), sentAtMs);
      return;
    }
  }

  /** Reachable archives of a data centre, in an order that all VMs share. */
  private getArchives(dataCentre: DataCentreId): ArchiveClient[] {
    return this.options.pool
      .getReachableClients(dataCentre)
      .toSorted((left, right) => getRank(right) - getRank(left));
  }

  private getReports(dataCentre: DataCentreId): DataCentreReports {
    const known = this.reports.get(dataCentre);
    if (known !== undefined) return known;
    const lastSentMs = Number.NEGATIVE_INFINITY;
    const added = {lastSentMs, hadRequests: false, isSending: false};
    this.reports.set(dataCentre, added);
    return added;
  }
}

function getRank({member}: ArchiveClient): number {
  return getHashNumber(`loads ${member.daemon}`);
}
