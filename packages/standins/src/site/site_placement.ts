/** Assigns the targets of a site to data centres. */
import {type DataCentreId, type TargetId, toId} from '@marigoldpost/common';
import type {SiteDescription, SiteService} from './site_description.js';

/** Target with its id and data centre, not started yet. */
export interface PlacedTarget {
  /** `<service>-<data centre>-<number>`. */
  readonly id: TargetId;
  readonly service: SiteService;
  readonly dataCentre: DataCentreId;
}

/**
 * Assigns each service's targets to the data centres round-robin.
 * @param description - Data centres and services of the site.
 */
export function placeTargets(description: SiteDescription): PlacedTarget[] {
  const {dataCentres, services} = description;
  return services.flatMap((service) =>
    Array.from({length: service.count}, (_unused, index) => {
      const dataCentre = dataCentres[index % dataCentres.length]!;
      const number = Math.floor(index / dataCentres.length) + 1;
      const id = toId<TargetId>(`${service.id}-${dataCentre}-${number}`);
      return {id, service, dataCentre};
    }),
  );
}
