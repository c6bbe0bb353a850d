#pragma once

// Switching the expert map of a group of ranks.

#include "group/ballot.h"
#include "group/coordinatoroptions.h"
#include "group/engineorder.h"
#include "group/enginerecord.h"
#include "group/enginereply.h"
#include "group/enginestate.h"
#include "group/expertmapid.h"
#include "group/grouperror.h"
#include "group/groupmessage.h"
#include "group/participantoptions.h"
#include "group/participantoutput.h"
#include "group/participantstatus.h"
#include "group/proposal.h"
#include "group/rankparticipant.h"
#include "group/refusalreason.h"
#include "group/resolution.h"
#include "group/switchcoordinator.h"
#include "group/switchresult.h"
