/** Graph of the dependencies between services. */
import type {ServiceId} from '@marigoldpost/common';

/** Direct dependencies of each service. */
export type Dependencies = ReadonlyMap<ServiceId, readonly ServiceId[]>;

/**
 * Gets the transitive dependencies of a service.
 * @param service - Service; not part of the result unless it is in a cycle.
 * @param dependencies - Direct dependencies of all services.
 */
export function getAllDependencies(
  service: ServiceId,
  dependencies: Dependencies,
): ReadonlySet<ServiceId> {
  const found = new Set<ServiceId>();
  const pending = [...(dependencies.get(service) ?? [])];
  for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
    if (found.has(next)) continue;
    found.add(next);
    pending.push(...(dependencies.get(next) ?? []));
  }
  return found;
}

/**
 * Gets a shortest dependency cycle through a service, beginning with that
 * service; undefined when there is none.
 * @param service - Service where the cycle begins.
 * @param dependencies - Direct dependencies of all services.
 */
export function getCycle(
  service: ServiceId,
  dependencies: Dependencies,
): readonly ServiceId[] | undefined {
  const paths: ServiceId[][] = [[service]];
  const visited = new Set<ServiceId>();
  for (let path = paths.shift(); path !== undefined; path = paths.shift()) {
    const last = path.at(-1) as ServiceId;
    for (const next of dependencies.get(last) ?? []) {
      if (next === service) return path;
      if (visited.has(next)) continue;
      visited.add(next);
      paths.push([...path, next]);
    }
  }
  return undefined;
}
