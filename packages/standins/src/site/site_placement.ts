/** Where the targets of a site run, and their names. */
import {type DataCentreId, type TargetId, toId} from '@marigoldpost/common';
import type {SiteDescription, SiteService} from './site_description.js';

/** One target before it is started. */
export interface PlacedTarget {
  /** `<service>-<data centre>-<number>`. */
  readonly id: TargetId;
  readonly service: SiteService;
  readonly dataCentre: DataCentreId;
}

/**
 * Deals each service's targets out over the data centres in turn.
 * @param description - The site.
 */
export function getPlacedTargets(description: SiteDescription): PlacedTarget[] {
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
