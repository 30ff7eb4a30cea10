/** Context that all routes of the callers' API share. */
import {
  type CallId,
  type Clock,
  MarigoldpostError,
  type Random,
  toId,
} from '@marigoldpost/common';
import type {OperatorsConfig, TeamConfig} from '@marigoldpost/settings';
import type {Metrics} from '@marigoldpost/telemetry';
import {TeamAccess} from '../auth/team_access.js';
import type {CallGateway} from '../call_gateway.js';
import type {Exchange} from '../http/exchange.js';

const callIdLength = 20;

/** Components of the daemon that the routes use. */
export interface EntryDependencies {
  readonly gateway: CallGateway;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly random: Random;
}

/** The authenticated and approved team of a request. */
export interface TeamRequest {
  readonly team: TeamConfig;
  readonly access: TeamAccess;
}

/** Authenticates requests; caches the access rights of the configuration. */
export class EntryContext {
  private access: TeamAccess | undefined;
  private accessConfig: OperatorsConfig | undefined;

  private constructor(readonly dependencies: EntryDependencies) {}

  /**
   * Creates a context.
   * @param dependencies - Components of the daemon.
   */
  static create(dependencies: EntryDependencies): EntryContext {
    return new EntryContext(dependencies);
  }

  /**
   * Gets the calling team. Throws `platform_unavailable` before a configuration
   * is known, `unauthenticated` or `team_not_approved`.
   * @param exchange - Request of the caller.
   */
  getTeamOrThrow(exchange: Exchange): TeamRequest {
    const access = this.getAccess();
    const authorization = exchange.getHeader('authorization');
    return {team: access.getTeamOrThrow(authorization), access};
  }

  /** Creates a random id for a new call. */
  createCallId(): CallId {
    return toId<CallId>(this.dependencies.random.nextToken(callIdLength));
  }

  private getAccess(): TeamAccess {
    const config = this.dependencies.gateway.getConfig();
    if (config === undefined) {
      throw MarigoldpostError.create(
        'platform_unavailable',
        "the daemon has not received the operators' configuration yet",
      );
    }
    if (this.access === undefined || this.accessConfig !== config) {
      this.access = TeamAccess.create(config);
      this.accessConfig = config;
    }
    return this.access;
  }
}
