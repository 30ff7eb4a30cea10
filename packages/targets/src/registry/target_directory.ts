/** Which targets there are, from the operators' text and the VM list. */
import {type DataCentreId, type TargetId, toId} from '@marigoldpost/common';
import type {Vm} from '@marigoldpost/platform';
import type {OperatorsConfig, ServiceConfig} from '@marigoldpost/settings';

/** A target that the text or the VM list names. */
export interface ListedTarget {
  readonly id: TargetId;
  readonly service: ServiceConfig;
  readonly dataCentre: DataCentreId;
  readonly address: string;
  /** Whether the platform says that its VM leaves or is gone. */
  readonly isLeaving: boolean;
}

/**
 * Gets the targets that a daemon may use: those of its own data centre, and for
 * a service that has none there, those of the others.
 * @param config - The text in force.
 * @param vms - The last list of VMs; may be empty or old.
 * @param dataCentre - The daemon's data centre.
 */
export function getListedTargets(
  config: OperatorsConfig,
  vms: readonly Vm[],
  dataCentre: DataCentreId,
): ListedTarget[] {
  const vmsByName = new Map(vms.map((vm) => [vm.name, vm]));
  return [...config.services.values()].flatMap((service) => {
    const named = getNamedTargets(service, vmsByName);
    const found = getFoundTargets(service, vms, named);
    return preferDataCentre([...named, ...found], dataCentre);
  });
}

function getNamedTargets(
  service: ServiceConfig,
  vms: ReadonlyMap<string, Vm>,
): ListedTarget[] {
  return service.targets.map(({id, dataCentre, address}) => {
    const vm = vms.get(id);
    const isLeaving = vm !== undefined && vm.state !== 'live';
    return {id, service, dataCentre, address, isLeaving};
  });
}

function getFoundTargets(
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
