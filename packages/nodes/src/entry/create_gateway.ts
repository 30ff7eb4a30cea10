/** Creates the server of an entry VM for clients. */
import {clientPortShare, getConnectionLimits} from '@marigoldpost/common';
import {
  CallHandler,
  type CrashTracker,
  GatewayServer,
  RequestMemory,
  ResponseMemory,
  type SiteState,
} from '@marigoldpost/gateway';
import {ConnectionLog} from '@marigoldpost/telemetry';
import type {TurnStore} from '@marigoldpost/turns';
import type {NodeOptions} from '../node_options.js';
import type {EntryFleet} from './entry_fleet.js';

/** Share of the VM's memory that responses of targets may use. */
const responseShare = 0.15;
/** Share of the memory for request bodies, which are small as a rule. */
const requestShare = 0.1;
const bytesPerMb = 2 ** 20;

/** Components of the entry VM that calls use. */
export interface GatewayComponents {
  readonly site: SiteState;
  readonly turns: TurnStore;
  readonly fleet: EntryFleet;
  readonly crashTracker: CrashTracker;
}

/**
 * Creates the server of an entry VM for clients; it does not listen yet.
 * @param options - Settings and dependencies of the daemon.
 * @param components - Components that calls use.
 */
export function createGateway(
  {clock, random, settings, platform, logger, metrics}: NodeOptions,
  {site, turns, fleet, crashTracker}: GatewayComponents,
): GatewayServer {
  const memoryBytes = settings.memoryMb * bytesPerMb;
  const handler = CallHandler.create({
    clock,
    random,
    dataCentre: settings.dataCentre,
    codec: platform.codec,
    site,
    sender: fleet.sender,
    lossDetector: fleet.lossDetector,
    agents: fleet.agents,
    responseMemory: ResponseMemory.create(memoryBytes * responseShare),
    requestMemory: RequestMemory.create(memoryBytes * requestShare),
    turns,
    targetLimits: fleet.limits,
    crashTracker,
    quotas: fleet.quotas,
    logger,
    metrics,
  });
  const {memoryMb, maxDescriptors} = settings;
  const limits = getConnectionLimits(
    {memoryMb, maxDescriptors},
    clientPortShare,
  );
  const observer = ConnectionLog.create({port: 'clients', logger, metrics});
  return GatewayServer.create(handler, {limits, clock, observer});
}
