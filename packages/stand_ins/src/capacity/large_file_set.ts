/** A generated file set of the size that the router is designed for. */
import {computeDigest, createRandom} from '@buckthornbeam/shared';
import {createFileSet} from '@buckthornbeam/config';
import type {FileSet} from '@buckthornbeam/config';

/** Options of {@link createLargeFileSet}; all but the seed are counts. */
export interface LargeFileSetOptions {
  customers?: number;
  models?: number;
  servers?: number;
  dataCentres?: number;
  seed?: number;
}

const REGION_COUNT = 4;
const TOKENS_PER_SECOND_TIERS = [200, 500, 1000, 2000, 4000];

function buildList<T>(length: number, buildItem: (index: number) => T): T[] {
  return Array.from({length}, (_, index) => buildItem(index));
}

/** Creates a file set that is the same for the same options. */
export function createLargeFileSet(options: LargeFileSetOptions = {}): FileSet {
  const {customers = 12_000, models = 39, servers = 2000} = options;
  const {dataCentres = 9, seed = 1} = options;
  const random = createRandom(seed);
  return createFileSet({
    'service.json': {
      name: 'large',
      revision: 1,
      basedOn: null,
      ownershipScope: 'data_centre',
      maximumRequestMs: 120_000,
    },
    'classes.json': {
      classes: buildList(4, index => ({
        name: `class-${index + 1}`,
        tier: index + 1,
        targets: {
          firstTokenMs: 410,
          betweenTokensMs: 35,
          completionMs: 60_000,
        },
        minimumShare: 0.1,
        maximumOutputTokens: 2000,
        retryBudget: 0.1,
      })),
    },
    'customers.json': {
      customers: buildList(customers, index => {
        const tokensPerSecond =
          TOKENS_PER_SECOND_TIERS[
            random.nextInt(TOKENS_PER_SECOND_TIERS.length)
          ]!;
        return {
          id: `customer-${random.nextInt(1_000_000)}-${index}`,
          apiKeyDigest: computeDigest(`key ${index} of seed ${seed}`),
          tokensPerSecond,
          burstTokens: tokensPerSecond * 10,
          weight: 1 + random.nextInt(3),
        };
      }),
    },
    'models.json': {
      models: buildList(models, index => ({
        name: `model-${index}`,
        version: '2028-10',
        contextTokens: 131_072,
        deterministic: true,
      })),
    },
    'data-centres.json': {
      dataCentres: buildList(dataCentres, index => ({
        id: `data-centre-${index}`,
        region: `region-${index % REGION_COUNT}`,
        state: 'in',
      })),
    },
    'backend-servers.json': {
      backendServers: buildList(servers, index => ({
        id: `server-${index}`,
        dataCentre: `data-centre-${index % dataCentres}`,
        address: `10.${index % dataCentres}.${Math.floor(index / 250)}.${index % 250}:8000`,
        models: [
          ...new Set(buildList(2, () => `model-${random.nextInt(models)}`)),
        ],
        state: 'in',
        capacity: {requests: 64, tokens: 200_000, startingRequests: 8},
        checksFencing: index % 2 === 0,
      })),
    },
    'plain-services.json': {plainServices: []},
  });
}
