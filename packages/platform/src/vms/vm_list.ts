/** The platform's lagging list of virtual machines. */
import type {DataCentreId} from '@marigoldpost/common';

/** State of one VM as the platform knows it. */
export type VmState = 'live' | 'leaving' | 'gone';

/** One VM. */
export interface Vm {
  /** Name of the daemon or target that runs on it. */
  readonly name: string;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` of the process. */
  readonly address: string;
  readonly state: VmState;
}

/** Client of the VM list. */
export abstract class VmList {
  /** Gets every VM; throws `store_unavailable` when the platform is away. */
  abstract getVms(): Promise<readonly Vm[]>;
}
