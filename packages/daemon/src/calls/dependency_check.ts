/** Rejects calls whose service depends on an unavailable service. */
import {MarigoldpostError, type ServiceId} from '@marigoldpost/common';
import type {OperatorsConfig, ServiceConfig} from '@marigoldpost/settings';
import type {TargetRegistry} from '@marigoldpost/targets';

const retryAfterMs = 1000;

/**
 * Throws `dependency_unavailable` when a service that the call's service
 * depends on, directly or not, has no open target.
 * @param config - The active operators' configuration.
 * @param service - The service that is called.
 * @param registry - Shows which services have an open target.
 */
export function checkDependencies(
  config: OperatorsConfig,
  service: ServiceConfig,
  registry: TargetRegistry,
): void {
  if (service.dependsOn.length === 0) return;
  const open = getOpenServices(registry);
  for (const dependency of getDependencies(config, service)) {
    if (open.has(dependency)) continue;
    const message = `service "${service.id}" depends on "${dependency}", which has no open target`;
    const options = {retryAfterMs};
    throw MarigoldpostError.create('dependency_unavailable', message, options);
  }
}

function getOpenServices(registry: TargetRegistry): Set<ServiceId> {
  const targets = registry.getTargets().filter(({isOpen}) => isOpen);
  return new Set(targets.map(({service}) => service));
}

function getDependencies(
  config: OperatorsConfig,
  service: ServiceConfig,
): Set<ServiceId> {
  const found = new Set<ServiceId>();
  const pending = [...service.dependsOn];
  for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
    if (found.has(next)) continue;
    found.add(next);
    pending.push(...(config.services.get(next)?.dependsOn ?? []));
  }
  return found;
}
