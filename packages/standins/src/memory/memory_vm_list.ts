/** In-memory VM list whose readers see changes with a delay. */
import {type Clock, MarigoldpostError} from '@marigoldpost/common';
import {type Vm, VmList, type VmState} from '@marigoldpost/platform';

/** Clock and delay of a list. */
export interface MemoryVmListOptions {
  readonly clock: Clock;
  /** Delay until readers see a change, in milliseconds. */
  readonly lagMs: number;
}

interface Sample {
  readonly atMs: number;
  readonly vms: readonly Vm[];
}

/** List of VMs with delayed reads and an injected outage. */
export class MemoryVmList extends VmList {
  private vms: readonly Vm[] = [];
  private samples: Sample[] = [];
  private isOut = false;

  private constructor(private readonly options: MemoryVmListOptions) {
    super();
  }

  /**
   * Creates an empty list.
   * @param options - Clock and delay.
   */
  static create(options: MemoryVmListOptions): MemoryVmList {
    return new MemoryVmList(options);
  }

  /**
   * Adds a VM or replaces the VM with the same name.
   * @param vm - VM to list.
   */
  setVm(vm: Vm): void {
    const others = this.vms.filter(({name}) => name !== vm.name);
    this.setVms([...others, vm]);
  }

  /**
   * Sets the state of a VM; has no effect on an unknown one.
   * @param name - Name of the VM.
   * @param state - New state.
   */
  setState(name: string, state: VmState): void {
    this.setVms(this.vms.map((vm) => (vm.name === name ? {...vm, state} : vm)));
  }

  /**
   * Starts or ends an outage of the list.
   * @param isOut - Whether calls fail.
   */
  setOutage(isOut: boolean): void {
    this.isOut = isOut;
  }

  override getVms(): Promise<readonly Vm[]> {
    if (this.isOut) {
      const message = 'VM list does not answer';
      const error = MarigoldpostError.create('store_unavailable', message);
      return Promise.reject(error);
    }
    return Promise.resolve(this.getVisibleVms());
  }

  private setVms(vms: readonly Vm[]): void {
    this.vms = vms;
    this.samples.push({atMs: this.options.clock.nowMs(), vms});
  }

  private getVisibleVms(): readonly Vm[] {
    const visibleMs = this.options.clock.nowMs() - this.options.lagMs;
    const visible = this.samples.filter(({atMs}) => atMs <= visibleMs);
    const last = visible.at(-1);
    if (last === undefined) return [];
    this.samples = this.samples.slice(visible.length - 1);
    return last.vms;
  }
}
