#!/usr/bin/env node
import {main} from '../dist/node/operator/cli.js';

await main();
