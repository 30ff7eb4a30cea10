/** Target discovery from the operators' configuration and the VM list. */
import {type DataCentreId, type TargetId, toId} from '@marigoldpost/common';
import type {Vm} from '@marigoldpost/platform';
import type {OperatorsConfig, ServiceConfig} from '@marigoldpost/settings';

/** A target that the configuration or the VM list names. */
export interface ListedTarget {
  readonly id: TargetId;
  readonly service: ServiceConfig;
  readonly dataCentre: DataCentreId;
  readonly address: string;
  /** Whether the platform reports its VM as leaving or gone. */
  readonly isLeaving: boolean;
}

/**
 * Gets the targets that a daemon may use: those of its own data centre, or, for
 * a service without targets there, those of all data centres.
 * @param config - Operators' configuration in force.
 * @param vms - Latest VM list; may be empty or stale.
 * @param dataCentre - Data centre of the daemon.
 */
export function getListedTargets(
  config: OperatorsConfig,
  vms: readonly Vm[],
  dataCentre: DataCentreId,
): ListedTarget[] {
  const vmsByName = new Map(vms.map((vm) => [vm.name, vm]));
  return [...config.services.values()].flatMap((service) => {
    const configured = getConfiguredTargets(service, vmsByName);
    const discovered = getDiscoveredTargets(service, vms, configured);
    return preferDataCentre([...configured, ...discovered], dataCentre);
  });
}

function getConfiguredTargets(
  service: ServiceConfig,
  vms: ReadonlyMap<string, Vm>,
): ListedTarget[] {
  return service.targets.map(({id, dataCentre, address}) => {
    const vm = vms.get(id);
    const isLeaving = vm !== undefined && vm.state !== 'live';
    return {id, service, dataCentre, address, isLeaving};
  });
}

function getDiscoveredTargets(
  service: ServiceConfig,
  vms: readonly Vm[],
  named: readonly ListedTarget[],
): ListedTarget[] {
  const prefix = service.discoverPrefix;
  if (prefix === undefined) return [];
  const namedIds = new Set<string>(named.map(({id}) => id));
  return vms
    .filter((vm) => vm.name.startsWith(prefix) && !namedIds.has(vm.name))
    .filter((vm) => vm.state !== 'gone')
    .map((vm) => ({
      id: toId<TargetId>(vm.name),
      service,
      dataCentre: vm.dataCentre,
      address: vm.address,
      isLeaving: vm.state === 'leaving',
    }));
}

function preferDataCentre(
  targets: readonly ListedTarget[],
  dataCentre: DataCentreId,
): ListedTarget[] {
  const own = targets.filter((target) => target.dataCentre === dataCentre);
  return own.length > 0 ? own : [...targets];
}
