/** Every workload by name. */
import {MarigoldpostError} from '@marigoldpost/common';
import {TranGiaWorkload} from './tran_gia_workload.js';
import {WaikatoWorkload} from './waikato_workload.js';
import type {Workload} from './workload.js';

const workloads: readonly Workload[] = [
  TranGiaWorkload.create(),
  WaikatoWorkload.create(),
];

/** Gets every workload. */
export function getWorkloads(): readonly Workload[] {
  return workloads;
}

/**
 * Gets a workload; throws `invalid_request` when there is none.
 * @param name - Its name.
 */
export function getWorkloadOrThrow(name: string): Workload {
  const workload = workloads.find((known) => known.name === name);
  if (workload !== undefined) return workload;
  const names = workloads.map((known) => known.name).join(', ');
  throw MarigoldpostError.create(
    'invalid_request',
    `workload "${name}" is unknown; known are ${names}`,
  );
}
