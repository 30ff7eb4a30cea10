/** Detection of data centres whose partitions other data centres take over. */
import {
  isErrorOfKind,
  type Clock,
  type DataCentreId,
} from '@marigoldpost/common';
import type {Vm, VmList} from '@marigoldpost/platform';
import type {OperatorsConfig} from '@marigoldpost/settings';

const readIntervalMs = 10_000;

/** Dependencies of the finder. */
export interface DownDataCentreFinderOptions {
  readonly clock: Clock;
  readonly vmList?: VmList;
  /** Data centre of this daemon. */
  readonly dataCentre: DataCentreId;
}

/**
 * Finds data centres that the operators' configuration marks as down, or whose
 * VMs are all gone.
 */
export class DownDataCentreFinder {
  private vms: readonly Vm[] = [];
  private readAtMs = -Infinity;

  private constructor(private readonly options: DownDataCentreFinderOptions) {}

  /**
   * Creates a finder that has not read the list of VMs yet.
   * @param options - Clock, list of VMs and data centre of this daemon.
   */
  static create(options: DownDataCentreFinderOptions): DownDataCentreFinder {
    return new DownDataCentreFinder(options);
  }

  /**
   * Gets the data centres that are down.
   * @param config - Operators' configuration in force.
   */
  async findDownDataCentres(
    config: OperatorsConfig,
  ): Promise<Set<DataCentreId>> {
    const vms = await this.readVms();
    const down = new Set<DataCentreId>();
    for (const {id, isDown} of config.dataCentres.values()) {
      if (isDown || this.hasLostAllVms(id, vms)) down.add(id);
    }
    return down;
  }

  /** Whether the list has VMs of another data centre, all of them gone. */
  private hasLostAllVms(dataCentre: DataCentreId, vms: readonly Vm[]): boolean {
    if (dataCentre === this.options.dataCentre) return false;
    const localVms = vms.filter((vm) => vm.dataCentre === dataCentre);
    return localVms.length > 0 && localVms.every(({state}) => state === 'gone');
  }

  /**
   * Reads the list of VMs at most once per interval. When the read fails, the
   * last list remains in use.
   */
  private async readVms(): Promise<readonly Vm[]> {
    const {clock, vmList} = this.options;
    if (clock.nowMs() - this.readAtMs < readIntervalMs) return this.vms;
    this.readAtMs = clock.nowMs();
    try {
      this.vms = (await vmList?.getVms()) ?? [];
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
    }
    return this.vms;
  }
}
