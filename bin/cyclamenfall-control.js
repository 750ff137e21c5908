#!/usr/bin/env node
import process from 'node:process';
import {main} from '../dist/node/daemon/control_main.js';

main(process.argv);
