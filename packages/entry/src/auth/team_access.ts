/** Which team calls, and what it may use, by the text in force. */
import {
  MarigoldpostError,
  type ModelId,
  type ServiceId,
  toId,
} from '@marigoldpost/common';
import {
  getAllDependencies,
  getNearestName,
  type OperatorsConfig,
  type ServiceConfig,
  type TeamConfig,
} from '@marigoldpost/settings';
import {KeyIndex} from './key_index.js';

/** A model as one service serves it. */
export interface ServedModel {
  readonly service: ServiceConfig;
  readonly model: ModelId;
}

/** Access by one version of the text. */
export class TeamAccess {
  private readonly keys: KeyIndex<TeamConfig>;
  private readonly servicesOfTeam = new Map<TeamConfig, Set<ServiceId>>();

  private constructor(private readonly config: OperatorsConfig) {
    this.keys = KeyIndex.create(config.teams.values());
  }

  /**
   * Creates the access that a text gives.
   * @param config - The text in force.
   */
  static create(config: OperatorsConfig): TeamAccess {
    return new TeamAccess(config);
  }

  /**
   * Gets the calling team; throws `unauthenticated` and `team_not_approved`.
   * @param authorization - The `Authorization` header.
   */
  getTeamOrThrow(authorization: string | undefined): TeamConfig {
    const team = this.keys.getOwnerOrThrow(authorization);
    if (team.isApproved) return team;
    throw MarigoldpostError.create(
      'team_not_approved',
      `team "${team.id}" is not approved in the operators' text`,
    );
  }

  /**
   * Gets a service that a team may use; throws `unknown_service` and
   * `service_not_allowed`.
   * @param team - The team.
   * @param name - Untrusted name of a service.
   */
  getServiceOrThrow(team: TeamConfig, name: string): ServiceConfig {
    const service = this.config.services.get(toId<ServiceId>(name));
    if (service === undefined) {
      const hint = getHint(name, this.config.services.keys());
      throw MarigoldpostError.create(
        'unknown_service',
        `service "${name}" is not in the operators' text${hint}`,
      );
    }
    if (this.isAllowed(team, service.id)) return service;
    throw createNotAllowed(team, service.id);
  }

  /**
   * Gets the service and model that a caller's `model` means: a model that one
   * service of the team serves, or `service/model`. Throws `unknown_model`,
   * `service_not_allowed`, and `invalid_request` when several services fit.
   * @param team - The team.
   * @param name - The caller's `model`.
   */
  getModelOrThrow(team: TeamConfig, name: string): ServedModel {
    const serving = this.findModel(name);
    const first = serving[0];
    if (first === undefined) {
      const hint = getHint(name, this.getModelNames());
      throw MarigoldpostError.create(
        'unknown_model',
        `model "${name}" is not in the operators' text${hint}`,
      );
    }
    const allowed = serving.filter(({service}) =>
      this.isAllowed(team, service.id),
    );
    if (allowed.length === 1) return allowed[0] as ServedModel;
    if (allowed.length === 0) throw createNotAllowed(team, first.service.id);
    const names = allowed.map(({service, model}) => `${service.id}/${model}`);
    throw MarigoldpostError.create(
      'invalid_request',
      `model "${name}" is served by several services; name one of ${names.join(', ')}`,
    );
  }

  private findModel(name: string): ServedModel[] {
    const separator = name.indexOf('/');
    const serviceName = separator < 0 ? undefined : name.slice(0, separator);
    const model = toId<ModelId>(name.slice(separator + 1));
    return [...this.config.services.values()]
      .filter(
        (service) => serviceName === undefined || service.id === serviceName,
      )
      .filter(
        (service) =>
          service.kind === 'engine' && service.models.includes(model),
      )
      .map((service) => ({service, model}));
  }

  private getModelNames(): string[] {
    return [...this.config.services.values()].flatMap((service) =>
      service.kind === 'engine' ? service.models : [],
    );
  }

  private isAllowed(team: TeamConfig, service: ServiceId): boolean {
    let allowed = this.servicesOfTeam.get(team);
    if (allowed === undefined) {
      allowed = this.findAllowed(team);
      this.servicesOfTeam.set(team, allowed);
    }
    return allowed.has(service);
  }

  private findAllowed(team: TeamConfig): Set<ServiceId> {
    const allowed = new Set(team.services);
    if (!team.includesDependencies) return allowed;
    const services = [...this.config.services.values()];
    const graph = new Map(services.map(({id, dependsOn}) => [id, dependsOn]));
    for (const service of team.services) {
      for (const id of getAllDependencies(service, graph)) allowed.add(id);
    }
    return allowed;
  }
}

function getHint(name: string, validNames: Iterable<string>): string {
  const nearest = getNearestName(name, validNames);
  return nearest === undefined ? '' : `; did you mean "${nearest}"?`;
}

function createNotAllowed(
  team: TeamConfig,
  service: ServiceId,
): MarigoldpostError {
  return MarigoldpostError.create(
    'service_not_allowed',
    `team "${team.id}" is not approved for service "${service}"`,
  );
}
