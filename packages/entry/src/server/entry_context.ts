/** What every route of the callers' HTTP needs. */
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

/** Parts of the daemon that the routes use. */
export interface EntryParts {
  readonly gateway: CallGateway;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly random: Random;
}

/** A request whose team is known and approved. */
export interface TeamRequest {
  readonly team: TeamConfig;
  readonly access: TeamAccess;
}

/** Shared by the routes; keeps the access of the text in force. */
export class EntryContext {
  private access: TeamAccess | undefined;
  private accessConfig: OperatorsConfig | undefined;

  private constructor(readonly parts: EntryParts) {}

  /**
   * Creates a context.
   * @param parts - Parts of the daemon.
   */
  static create(parts: EntryParts): EntryContext {
    return new EntryContext(parts);
  }

  /**
   * Gets the team that calls; throws why it may not.
   * @param exchange - The request.
   */
  getTeamOrThrow(exchange: Exchange): TeamRequest {
    const access = this.getAccess();
    const authorization = exchange.getHeader('authorization');
    return {team: access.getTeamOrThrow(authorization), access};
  }

  /** Creates the id of a new call. */
  createCallId(): CallId {
    return toId<CallId>(this.parts.random.nextToken(callIdLength));
  }

  private getAccess(): TeamAccess {
    const config = this.parts.gateway.getConfig();
    if (config === undefined) {
      throw MarigoldpostError.create(
        'platform_unavailable',
        "the operators' text is not known here yet",
      );
    }
    if (this.access === undefined || this.accessConfig !== config) {
      this.access = TeamAccess.create(config);
      this.accessConfig = config;
    }
    return this.access;
  }
}
