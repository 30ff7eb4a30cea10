/** Authorizes teams by the operators' configuration in force. */
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

/** A model, and one of the services that serve it. */
export interface ServedModel {
  readonly service: ServiceConfig;
  readonly model: ModelId;
}

/** Access rights according to one version of the operators' configuration. */
export class TeamAccess {
  private readonly keys: KeyIndex<TeamConfig>;
  private readonly allowedServicesByTeam = new Map<
    TeamConfig,
    Set<ServiceId>
  >();

  private constructor(private readonly config: OperatorsConfig) {
    this.keys = KeyIndex.create(config.teams.values());
  }

  /**
   * Creates the access rights that a configuration grants.
   * @param config - The operators' configuration in force.
   */
  static create(config: OperatorsConfig): TeamAccess {
    return new TeamAccess(config);
  }

  /**
   * Gets the calling team. Throws `unauthenticated` for a missing or unknown
   * key, and `team_not_approved` for a team that is not approved.
   * @param authorization - Value of the `Authorization` header.
   */
  getTeamOrThrow(authorization: string | undefined): TeamConfig {
    const team = this.keys.getOwnerOrThrow(authorization);
    if (team.isApproved) return team;
    throw MarigoldpostError.create(
      'team_not_approved',
      `team "${team.id}" is not approved in the operators' configuration`,
    );
  }

  /**
   * Gets a service by its name. Throws `unknown_service` if it does not exist,
   * and `service_not_allowed` if the team may not use it.
   * @param team - The calling team.
   * @param name - Untrusted name of a service.
   */
  getServiceOrThrow(team: TeamConfig, name: string): ServiceConfig {
    const service = this.config.services.get(toId<ServiceId>(name));
    if (service === undefined) {
      const hint = getSuggestion(name, this.config.services.keys());
      throw MarigoldpostError.create(
        'unknown_service',
        `service "${name}" is not in the operators' configuration${hint}`,
      );
    }
    if (this.isAllowed(team, service.id)) return service;
    throw createAccessError(team, service.id);
  }

  /**
   * Resolves the `model` field of a request. Its value is `service/model`, or
   * `model` if the team may use exactly one service that serves the model.
   * Throws `unknown_model` if no service serves it, `service_not_allowed` if
   * the team may use none that does, and `invalid_request` if it may use
   * several.
   * @param team - The calling team.
   * @param name - Untrusted `model` field of the request.
   */
  getModelOrThrow(team: TeamConfig, name: string): ServedModel {
    const serving = this.findServedModels(name);
    const first = serving[0];
    if (first === undefined) {
      const hint = getSuggestion(name, this.getModelNames());
      throw MarigoldpostError.create(
        'unknown_model',
        `model "${name}" is not in the operators' configuration${hint}`,
      );
    }
    const allowed = serving.filter(({service}) =>
      this.isAllowed(team, service.id),
    );
    if (allowed.length === 1) return allowed[0] as ServedModel;
    if (allowed.length === 0) throw createAccessError(team, first.service.id);
    const names = allowed.map(({service, model}) => `${service.id}/${model}`);
    throw MarigoldpostError.create(
      'invalid_request',
      `model "${name}" is served by several services; use one of ${names.join(', ')}`,
    );
  }

  private findServedModels(name: string): ServedModel[] {
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
    let allowed = this.allowedServicesByTeam.get(team);
    if (allowed === undefined) {
      allowed = this.findAllowedServices(team);
      this.allowedServicesByTeam.set(team, allowed);
    }
    return allowed.has(service);
  }

  private findAllowedServices(team: TeamConfig): Set<ServiceId> {
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

function getSuggestion(name: string, validNames: Iterable<string>): string {
  const nearest = getNearestName(name, validNames);
  return nearest === undefined ? '' : `; did you mean "${nearest}"?`;
}

function createAccessError(
  team: TeamConfig,
  service: ServiceId,
): MarigoldpostError {
  return MarigoldpostError.create(
    'service_not_allowed',
    `team "${team.id}" is not approved for service "${service}"`,
  );
}
