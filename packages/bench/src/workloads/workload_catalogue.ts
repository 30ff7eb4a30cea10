/** Catalogue of the workloads. */
import {MarigoldpostError} from '@marigoldpost/common';
import {TranGiaWorkload} from './tran_gia_workload.js';
import {WaikatoWorkload} from './waikato_workload.js';
import type {Workload} from './workload.js';

const workloads: readonly Workload[] = [
  TranGiaWorkload.create(),
  WaikatoWorkload.create(),
];

/** Gets all workloads, in the order of reports. */
export function getWorkloads(): readonly Workload[] {
  return workloads;
}

/**
 * Gets a workload; throws `invalid_request` if the name is unknown.
 * @param name - Name on the command line.
 */
export function getWorkloadOrThrow(name: string): Workload {
  const workload = workloads.find((known) => known.name === name);
  if (workload !== undefined) return workload;
  const names = workloads.map((known) => known.name).join(', ');
  throw MarigoldpostError.create(
    'invalid_request',
    `unknown workload "${name}"; known workloads: ${names}`,
  );
}
