/** Admission: checks a request against the file set and the customer's rate. */
import type {Customer, FileSet, RequestClass} from '@buckthornbeam/config';
import {
  createOutputEstimator,
  createTokenBucket,
  splitRate,
} from '@buckthornbeam/decisions';
import type {TokenBucket} from '@buckthornbeam/decisions';
import {RouterError} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import type {ChatRequest} from './chat_request.js';

/** A request that was let in. */
export interface AdmittedRequest {
  request: ChatRequest;
  customerId: string;
  requestClass: RequestClass;
  /** Estimated work, prompt and answer, in tokens. */
  estimatedTokens: number;
  /** Tokens of the prompt in that estimate. */
  promptTokens: number;
}

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  clock: Clock;
  getFileSet: () => FileSet;
  /** Instances that admit requests and share the customers' rates. */
  countInstances: () => number;
}

/** Lets requests in or throws a {@link RouterError} with outcome `not_run`. */
export interface Admission {
  getCustomerId(apiKeyDigest: string): string;
  accept(customerId: string, request: ChatRequest): AdmittedRequest;
  /**
   * Corrects the customer's account by the answer's real length; only a whole
   * answer counts for later estimates.
   */
  settle(
    admitted: AdmittedRequest,
    outputTokens: number,
    isComplete: boolean,
  ): void;
}

interface CustomerBucket {
  bucket: TokenBucket;
  /** What the size was computed from. */
  customer: Customer;
  instances: number;
}

/** Characters of a prompt that make one token, for estimates. */
const CHARACTERS_PER_TOKEN = 4;

function estimatePrompt(request: ChatRequest): number {
  const characters = JSON.stringify(request.body['messages']).length;
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

/** Bounds the answer by the class, so that no request runs on without end. */
function applyOutputLimit(
  request: ChatRequest,
  requestClass: RequestClass,
): ChatRequest {
  const maximumTokens = Math.min(
    request.maximumTokens ?? requestClass.maximumOutputTokens,
    requestClass.maximumOutputTokens,
  );
  const body = {
    ...request.body,
    max_tokens: maximumTokens,
    max_completion_tokens: undefined,
  };
  return {...request, body, maximumTokens};
}

/** Creates the admission of one instance. */
export function createAdmission(options: AdmissionOptions): Admission {
  const {clock, getFileSet, countInstances} = options;
  const buckets = new Map<string, CustomerBucket>();
  const outputs = createOutputEstimator();

  function getClass(name: string): RequestClass {
    const found = getFileSet().classes.get(name);
    if (!found) {
      throw new RouterError('unknown_class', `no class "${name}"`);
    }
    return found;
  }

  function createBucket(customer: Customer): CustomerBucket {
    const instances = countInstances();
    const bucket = createTokenBucket(splitRate(customer, instances));
    return {bucket, customer, instances};
  }

  /** Returns the customer's bucket at the present rate and division. */
  function getBucket(customerId: string): TokenBucket {
    const customer = getFileSet().customers.get(customerId)!;
    const known = buckets.get(customerId) ?? createBucket(customer);
    buckets.set(customerId, known);
    const instances = countInstances();
    if (known.customer !== customer || known.instances !== instances) {
      known.bucket.resize(splitRate(customer, instances), clock.now());
      known.customer = customer;
      known.instances = instances;
    }
    return known.bucket;
  }

  function estimateOutput(
    customerId: string,
    {className, model, maximumTokens = Infinity}: ChatRequest,
    {maximumOutputTokens}: RequestClass,
  ): number {
    const maximum = Math.min(maximumTokens, maximumOutputTokens);
    return outputs.estimate({className, customerId, model}, maximum);
  }

  function takeCustomerTokens(customerId: string, tokens: number): void {
    const bucket = getBucket(customerId);
    const waitMs = bucket.take(tokens, clock.now());
    if (waitMs > 0) {
      throw new RouterError(
        'customer_limit',
        `${customerId} is over its rate`,
        {retryAfterMs: waitMs},
      );
    }
  }

  return {
    getCustomerId: apiKeyDigest => {
      const customer = getFileSet().customersByKeyDigest.get(apiKeyDigest);
      if (!customer) {
        throw new RouterError('unknown_customer', 'the API key is not known');
      }
      return customer.id;
    },
    accept: (customerId, request) => {
      const requestClass = getClass(request.className);
      if (!getFileSet().models.has(request.model)) {
        throw new RouterError('unknown_model', `no model "${request.model}"`);
      }
      const promptTokens = estimatePrompt(request);
      const outputTokens = estimateOutput(customerId, request, requestClass);
      const estimatedTokens = promptTokens + outputTokens;
      takeCustomerTokens(customerId, estimatedTokens);
      return {
        request: applyOutputLimit(request, requestClass),
        customerId,
        requestClass,
        estimatedTokens,
        promptTokens,
      };
    },
    settle: (admitted, outputTokens, isComplete) => {
      const {customerId, request, estimatedTokens, promptTokens} = admitted;
      const {className, model} = request;
      if (getFileSet().customers.has(customerId)) {
        const used = promptTokens + outputTokens;
        getBucket(customerId).settle(used - estimatedTokens);
      }
      if (isComplete) {
        outputs.observe({className, customerId, model}, outputTokens);
      }
    },
  };
}
