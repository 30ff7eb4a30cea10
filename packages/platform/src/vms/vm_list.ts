/** Interface to the platform's list of VMs, which lags behind their state. */
import type {DataCentreId} from '@marigoldpost/common';

/** State of a VM as known to the platform. */
export type VmState = 'live' | 'leaving' | 'gone';

/** A VM and the process that runs on it. */
export interface Vm {
  /** Name of the daemon or target that runs on it. */
  readonly name: string;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` of the process. */
  readonly address: string;
  readonly state: VmState;
}

/** Client of the VM list; never retries. */
export abstract class VmList {
  /** Gets all VMs; throws `store_unavailable` when the list is unavailable. */
  abstract getVms(): Promise<readonly Vm[]>;
}
